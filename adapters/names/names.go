// Package names checks names and addresses that others wrote, before they are sent, dialed or logged.
package names

import (
	"fmt"
	"net"
	"strconv"
	"strings"
)

// maxNameBytes is the maximum length of an identifier or a host.
const maxNameBytes = 255

// CheckAddress returns an error unless the text is a host and a port from 1 to 65535, separated by a
// colon.
func CheckAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return fmt.Errorf("address %q: %w", truncate(text), err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("address %q has no port from 1 to 65535", truncate(text))
	}
	if err := CheckName(host); err != nil {
		return fmt.Errorf("host of an address: %w", err)
	}
	return nil
}

// CheckName returns an error unless the text can be part of a header, a path or a log line: it has only
// visible ASCII characters, except slashes.
func CheckName(text string) error {
	notAllowed := func(r rune) bool { return r <= ' ' || r > '~' || r == '/' }
	if text == "" || len(text) > maxNameBytes || strings.ContainsFunc(text, notAllowed) {
		return fmt.Errorf("%q is empty, too long or has characters that are not allowed", truncate(text))
	}
	return nil
}

// truncate shortens a text for a message.
func truncate(text string) string {
	const maxBytes = 80
	return text[:min(maxBytes, len(text))]
}
