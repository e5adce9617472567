package upstream

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// writtenTimeout limits how long the end of a response waits until it is known whether the request was written. The end of the
// connection ends the write, too.
const writtenTimeout = time.Second

var errNotWritten = errors.New("the connection ended before the request was written")

// recordWritten records the result of writing the request, which replaces that of an earlier connection.
func (u *connUse) recordWritten(err error) {
	select {
	case <-u.written:
	default:
	}
	select {
	case u.written <- err:
	default: // nobody waits for it
	}
}

// checkWritten returns nil if the whole request was written. A connection that was reset reports that once, to a read or to a
// write; after a failed write, a read finds the end of the connection as if the upstream had closed it.
func (u *connUse) checkWritten(ctx context.Context) error {
	timer := time.NewTimer(writtenTimeout)
	defer timer.Stop()
	select {
	case err := <-u.written:
		if err != nil {
			return fmt.Errorf("%w: %w", errNotWritten, err)
		}
		return nil
	case <-timer.C:
		return errNotWritten
	case <-ctx.Done():
		return ctx.Err()
	}
}
