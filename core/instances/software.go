package instances

import "time"

// softwareHistory holds when upstreams with each version of the software were last registered, for those that no longer are.
type softwareHistory map[string]time.Time

// recordGone records that an upstream is not registered any more.
func (h softwareHistory) recordGone(now time.Time, u *upstream) { h[u.Software] = now }

// SoftwareVersions returns the versions of the software of the service's upstreams, of any region, that are registered or
// were within a time before now, in any order.
func (p *Pool) SoftwareVersions(now time.Time, within time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := make(map[string]bool)
	for _, u := range p.upstreams {
		versions[u.Software] = true
	}
	for version, at := range p.software {
		if now.Sub(at) >= within {
			delete(p.software, version)
		} else {
			versions[version] = true
		}
	}
	list := make([]string, 0, len(versions))
	for version := range versions {
		list = append(list, version)
	}
	return list
}
