package places_test

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
)

type simUpstream struct {
	instances.Instance
	running int
	queue   []func()
	// unreachable is set while connections to it fail.
	unreachable bool
}

// send sends a request to an upstream at a one-way latency; done gets its outcome.
func (s *simulation) send(id domain.UpstreamID, latency time.Duration, done func(instances.Outcome, instances.ReportedLoad)) {
	u := s.upstreams[id]
	s.after(latency, func() {
		s.sent++
		if u.unreachable {
			s.after(latency, func() { done(instances.Unreachable, instances.ReportedLoad{}) })
			return
		}
		end := func(o instances.Outcome) {
			load := instances.ReportedLoad{Running: u.running, Waiting: len(u.queue), Slots: slots}
			s.after(latency, func() { done(o, load) })
		}
		run := func() {
			u.running++
			if s.at >= warmUp && s.at < simulated-10*time.Second {
				s.ran++
			}
			s.after(time.Duration((0.7+0.6*s.rng.Float64())*float64(s.work)), func() {
				u.running--
				if len(u.queue) > 0 {
					next := u.queue[0]
					u.queue = u.queue[1:]
					next()
				}
				end(instances.Answered)
			})
		}
		switch {
		case u.running < slots:
			run()
		case len(u.queue) < queueSize:
			u.queue = append(u.queue, run)
		default:
			s.rejected++
			end(instances.Shed)
		}
	})
}

// failUpstream lets an upstream in the region with the peak be unreachable for some time.
func (s *simulation) failUpstream() {
	u := s.upstreams["u20"]
	s.after(22*time.Second, func() { u.unreachable = true })
	s.after(22*time.Second+unreachableFor, func() { u.unreachable = false })
}
