package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/crocusspread/crocusspread/adapters/yamldoc"
	"github.com/crocusspread/crocusspread/core/domain"
)

// heartbeatsPerProgress is the minimum number of heartbeats within the progress
// timeout, so that a failed node is detected before its streams time out.
const heartbeatsPerProgress = 2

// Validate returns the problems of settings that were not read from a file.
func (s *Settings) Validate() yamldoc.Problems {
	file := yamldoc.Decode("settings", nil, &struct{}{})
	s.validate(file)
	return file.Problems
}

// validate adds the problems of the settings to file.
func (s *Settings) validate(file *yamldoc.File) {
	failed := make(map[string]bool)
	for _, p := range file.Problems {
		if p.Key == "" {
			// The file was not decoded, so the settings don't hold its values.
			return
		}
		failed[p.Key] = true
	}
	c := checker{Settings: s, file: file, failed: failed}
	c.checkTags()
	c.checkListen()
	c.checkPlatform()
	c.checkTLS("tls.callers", s.callerTLSFiles())
	c.checkTLS("tls.nodes", s.nodeTLSFiles())
	c.checkTimes()
	c.checkSizes()
	c.checkLinks()
}

// checker adds the problems of settings to their file. It adds only one problem for a
// key, and none for a key whose group has a problem.
type checker struct {
	*Settings
	file *yamldoc.File
	// failed holds the keys and groups that have a problem.
	failed map[string]bool
}

// addf adds a problem unless the key or its group has one already.
func (c *checker) addf(key, format string, args ...any) {
	group, _, _ := strings.Cut(key, ".")
	if c.failed[key] || c.failed[group] {
		return
	}
	c.failed[key] = true
	c.file.Addf(key, format, args...)
}

// checkTags checks each value on its own, by the validate tag of its field.
func (c *checker) checkTags() {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamldoc.KeyName)
	var fieldErrors validator.ValidationErrors
	if !errors.As(v.Struct(c.Settings), &fieldErrors) {
		return
	}
	for _, fieldError := range fieldErrors {
		_, key, _ := strings.Cut(fieldError.Namespace(), ".")
		c.addf(key, "%s", tagMessage(fieldError))
	}
}

// tagMessage returns the message for a failed validate tag.
func tagMessage(fieldError validator.FieldError) string {
	switch fieldError.Tag() {
	case "required":
		return "is required"
	case "oneof":
		return fmt.Sprintf("%q is not one of: %s", fieldError.Value(), strings.ReplaceAll(fieldError.Param(), " ", ", "))
	case "min":
		return fmt.Sprintf("%v is less than the least value, %s", fieldError.Value(), limitText(fieldError))
	}
	if fieldError.Kind() == reflect.String {
		return fmt.Sprintf("is longer than %s bytes", fieldError.Param())
	}
	return fmt.Sprintf("%v is more than the greatest value, %s", fieldError.Value(), limitText(fieldError))
}

// limitText formats the limit of a failed min or max tag.
func limitText(fieldError validator.FieldError) string {
	if _, isSize := fieldError.Value().(yamldoc.ByteSize); !isSize {
		return fieldError.Param()
	}
	size, err := yamldoc.ParseByteSize(fieldError.Param() + "B")
	if err != nil {
		return fieldError.Param()
	}
	return size.String()
}

func (c *checker) checkListen() {
	byAddress := make(map[string]string)
	for _, l := range []struct{ key, address string }{
		{"listen.caller", c.Listen.Caller},
		{"listen.peer", c.Listen.Peer},
		{"listen.admin", c.Listen.Admin},
	} {
		c.checkAddress(l.key, l.address)
		if other, ok := byAddress[l.address]; ok && l.address != "" {
			c.addf(l.key, "%q is also the address of %s", l.address, other)
		}
		byAddress[l.address] = l.key
	}
	c.checkAddress("listen.advertised_peer", c.Listen.AdvertisedPeer)
}

func (c *checker) checkAddress(key, address string) {
	if address == "" {
		return
	}
	ap, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		c.addf(key, "%q is not host:port with the host as an IP number", address)
	case ap.Port() == 0:
		c.addf(key, "%q lacks a port that others can use", address)
	case ap.Addr().IsUnspecified():
		c.addf(key, "%q is not an address that others can reach; name one of the VM's addresses", address)
	}
}

func (c *checker) checkPlatform() {
	const key = "platform.url"
	if c.Platform.URL == "" {
		return
	}
	u, err := url.Parse(c.Platform.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		c.addf(key, "%q is not an http or https URL", c.Platform.URL)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.addf(key, "host %q is not an IP number", u.Hostname())
	}
	if u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		c.addf(key, "%q holds more than scheme, host, port and path", u.Redacted())
	}
}

// checkTLS adds a problem for a group of files that is only partly set.
func (c *checker) checkTLS(group string, files []tlsFile) {
	var given, missing []string
	for _, f := range files {
		if *f.path == "" {
			missing = append(missing, f.key)
			continue
		}
		given = append(given, f.key)
	}
	if len(given) == 0 || len(missing) == 0 {
		return
	}
	c.addf(group, "is half-given: %s without %s", strings.Join(given, " and "), strings.Join(missing, " and "))
}

func (c *checker) checkTimes() {
	t := c.TimeLimits
	if t.Header > t.Request {
		c.addf("time_limits.header", "%v is longer than time_limits.request, %v", t.Header, t.Request)
	}
	if t.Progress > t.Request {
		c.addf("time_limits.progress", "%v is longer than time_limits.request, %v", t.Progress, t.Request)
	}
	if c.Heartbeat*heartbeatsPerProgress > t.Progress {
		c.addf("heartbeat_interval", "%v is more than half of time_limits.progress, %v", c.Heartbeat, t.Progress)
	}
	if c.Drain.EntryTTL >= c.Drain.Max {
		c.addf("drain.entry_ttl", "%v leaves no time within drain.max, %v", c.Drain.EntryTTL, c.Drain.Max)
	}
	if t.Request > c.Drain.Max-c.Drain.EntryTTL {
		c.addf("drain.max", "%v cuts off requests: it is shorter than drain.entry_ttl (%v) and time_limits.request (%v) together",
			c.Drain.Max, c.Drain.EntryTTL, t.Request)
	}
}

func (c *checker) checkSizes() {
	if c.Sizes.MaxHeader > c.Sizes.MaxBody {
		c.addf("sizes.max_header", "%v is more than sizes.max_body, %v", c.Sizes.MaxHeader, c.Sizes.MaxBody)
	}
}

func (c *checker) checkLinks() {
	seen := make(map[domain.Region]bool)
	for i, link := range c.Links {
		key := fmt.Sprintf("link_budgets[%d].region", i)
		if link.Region != "" && link.Region == c.Node.Region {
			c.addf(key, "%q is the node's own region", link.Region)
		}
		if seen[link.Region] {
			c.addf(key, "%q is listed twice", link.Region)
		}
		seen[link.Region] = true
	}
}
