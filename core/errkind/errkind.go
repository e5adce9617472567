// Package errkind defines the closed list of error kinds and the table that maps
// each kind to the response for callers. Every error that a node returns to a
// caller or another node is of one of these kinds.
package errkind

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Kind is a stable error kind. Its text is part of the interface for callers.
type Kind string

// The closed list of kinds. The table has a row for each of them.
const (
	BadRequest          Kind = "bad_request"
	BodyTooLarge        Kind = "body_too_large"
	Unauthenticated     Kind = "unauthenticated"
	NotInPlan           Kind = "not_in_plan"
	UnknownTarget       Kind = "unknown_target"
	RegionForbidden     Kind = "region_forbidden"
	LimitExceeded       Kind = "limit_exceeded"
	DeadlineUnreachable Kind = "deadline_unreachable"
	Overloaded          Kind = "overloaded"
	NoCapacity          Kind = "no_capacity"
	Draining            Kind = "draining"
	ListsOutdated       Kind = "lists_outdated"
	ListsUnavailable    Kind = "lists_unavailable"
	StoreUnavailable    Kind = "store_unavailable"
	KeyConflict         Kind = "key_conflict"
	OperationExpired    Kind = "operation_expired"
	OperationNotRun     Kind = "operation_not_run"
	OperationLost       Kind = "operation_lost"
	AnswerNotKept       Kind = "answer_not_kept"
	UpstreamFailed      Kind = "upstream_failed"
	UpstreamSilent      Kind = "upstream_silent"
	Truncated           Kind = "truncated"
	PeerUnreachable     Kind = "peer_unreachable"
	PeerLost            Kind = "peer_lost"
	WrongIncarnation    Kind = "wrong_incarnation"
	Timeout             Kind = "timeout"
	Canceled            Kind = "canceled"
	Conflict            Kind = "conflict"
	NotFound            Kind = "not_found"
	HistoryLost         Kind = "history_lost"
	PromptPartHeld      Kind = "prompt_part_held"
	RequestHeld         Kind = "request_held"
	Internal            Kind = "internal"
)

// Answer is the table row of one kind.
type Answer struct {
	// Status is the HTTP status code for callers.
	Status int
	// Run is the default verdict of the kind; an Error can override it.
	Run domain.Run
	// RetryAfter is the default wait before a retry; zero means that waiting does not
	// help.
	RetryAfter time.Duration
	// ExitCode is the exit code of crocusctl.
	ExitCode int
}

const (
	shortWait = time.Second
	longWait  = 5 * time.Second
)

var table = map[Kind]Answer{
	BadRequest:          {400, domain.RunNo, 0, 10},
	BodyTooLarge:        {413, domain.RunNo, 0, 11},
	Unauthenticated:     {401, domain.RunNo, 0, 12},
	NotInPlan:           {403, domain.RunNo, 0, 13},
	UnknownTarget:       {404, domain.RunNo, 0, 14},
	RegionForbidden:     {403, domain.RunNo, 0, 15},
	LimitExceeded:       {429, domain.RunNo, shortWait, 16},
	DeadlineUnreachable: {503, domain.RunNo, shortWait, 17},
	Overloaded:          {503, domain.RunNo, shortWait, 18},
	NoCapacity:          {503, domain.RunNo, longWait, 19},
	Draining:            {503, domain.RunNo, shortWait, 20},
	ListsOutdated:       {503, domain.RunNo, shortWait, 21},
	ListsUnavailable:    {503, domain.RunNo, longWait, 22},
	StoreUnavailable:    {503, domain.RunNo, longWait, 23},
	KeyConflict:         {422, domain.RunNo, 0, 24},
	OperationExpired:    {410, domain.RunUnknown, 0, 25},
	OperationNotRun:     {409, domain.RunNo, 0, 26},
	OperationLost:       {502, domain.RunUnknown, 0, 27},
	AnswerNotKept:       {410, domain.RunYes, 0, 28},
	UpstreamFailed:      {502, domain.RunUnknown, 0, 29},
	UpstreamSilent:      {504, domain.RunUnknown, 0, 30},
	Truncated:           {502, domain.RunUnknown, 0, 31},
	PeerUnreachable:     {503, domain.RunNo, shortWait, 32},
	PeerLost:            {502, domain.RunUnknown, 0, 33},
	WrongIncarnation:    {502, domain.RunUnknown, 0, 34},
	Timeout:             {504, domain.RunUnknown, 0, 35},
	Canceled:            {499, domain.RunUnknown, 0, 36},
	Conflict:            {409, domain.RunNo, 0, 37},
	NotFound:            {404, domain.RunNo, 0, 38},
	Internal:            {500, domain.RunUnknown, 0, 39},
	HistoryLost:         {503, domain.RunNo, shortWait, 40},
	PromptPartHeld:      {422, domain.RunNo, 0, 41},
	RequestHeld:         {422, domain.RunNo, 0, 42},
}

// Lookup returns the table row of k, or that of Internal if k is not listed.
func Lookup(k Kind) Answer {
	if a, ok := table[k]; ok {
		return a
	}
	return table[Internal]
}

// Kinds returns every kind of the closed list, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := range table {
		kinds = append(kinds, k)
	}
	return kinds
}

// Error is an error of one of the kinds.
type Error struct {
	Kind Kind
	// Message is for humans; programs must use Kind and Run.
	Message string
	// Run overrides the verdict of the kind's table row if it is not empty.
	Run domain.Run
	// RetryAfter overrides the wait of the kind's table row if it is not zero.
	RetryAfter time.Duration
	// Cause is the underlying error. It is not sent to callers or other nodes.
	Cause error
}

// New returns an Error of kind k with a formatted message; a %w verb sets Cause.
func New(k Kind, format string, args ...any) *Error {
	wrapped := fmt.Errorf(format, args...)
	return &Error{Kind: k, Message: wrapped.Error(), Cause: errors.Unwrap(wrapped)}
}

// WithRun sets the verdict of e and returns e.
func (e *Error) WithRun(r domain.Run) *Error { e.Run = r; return e }

// WithRetryAfter sets the wait before a retry and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error { e.RetryAfter = d; return e }

// Error implements error.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Message }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is reports whether target is a matcher returned by Of for the same kind. It makes
// errors.Is(err, errkind.Of(k)) work.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Kind == e.Kind && t.Message == ""
}

// Of returns a matcher for errors.Is.
func Of(k Kind) error { return &Error{Kind: k} }

// Verdict returns the verdict of the error, or else that of its kind's table row.
func (e *Error) Verdict() domain.Run {
	if e.Run != "" {
		return e.Run
	}
	return Lookup(e.Kind).Run
}

// RetryDelay returns how long to wait before a retry; zero means that a retry does not
// help.
func (e *Error) RetryDelay() time.Duration {
	if e.RetryAfter != 0 {
		return e.RetryAfter
	}
	return Lookup(e.Kind).RetryAfter
}

// From returns err as an *Error. A context error becomes Timeout or Canceled, any
// other error becomes Internal.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	kind := Internal
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		kind = Timeout
	case errors.Is(err, context.Canceled):
		kind = Canceled
	}
	return &Error{Kind: kind, Message: err.Error(), Cause: err}
}
