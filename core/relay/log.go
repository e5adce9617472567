package relay

import (
	"strconv"
	"strings"
	"time"

	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/placement"
)

func (c result) outcome() string {
	if c.delivered {
		return "delivered"
	}
	return string(c.err.Kind)
}

// logAttempt logs an attempt that did not deliver the answer.
func (a *attempts) logAttempt(to string, sentAt time.Time, expected time.Duration, res result) {
	if res.delivered {
		return
	}
	fingerprint := ""
	if a.crashed(res) {
		subjects := a.identify()
		fingerprint = strconv.FormatUint(subjects[len(subjects)-1].ID, 16)
	}
	a.Log.Log(event.AttemptFailed, event.F("request", a.r.ID), event.F("fingerprint", fingerprint), event.F("to", to),
		event.F("outcome", res.outcome()), event.F("cold", a.ticket != nil && a.ticket.Cold), event.F("run", res.ran), event.F("judged", res.upstreamOutcome.String()),
		event.F("took_ms", a.Now().Sub(sentAt).Milliseconds()), event.F("expected_ms", expected.Milliseconds()),
		event.F("framing", a.framing), event.F("body_bytes", a.bodyBytes), event.F("events", a.events.complete), event.F("software", a.software), event.F("shared_parts", partList(a.r.Prompt.SharedParts())),
		event.F("detail", res.err.Message))
}

// partList returns the identifiers of prompt parts as callers write them.
func partList(parts []placement.Part) string {
	ids := make([]string, 0, len(parts))
	for _, p := range parts {
		ids = append(ids, strconv.FormatUint(p.ID, 16))
	}
	return strings.Join(ids, ",")
}

// finish logs the request and updates the metrics.
func (a *attempts) finish(f *Failure) {
	now := a.Now()
	took := now.Sub(a.r.Arrived)
	fields := []event.Field{
		event.F("request", a.r.ID), event.F("route", a.r.Route.Name), event.F("service", a.r.Service),
		event.F("table", a.r.TableVersion), event.F("choice", choiceName(a.decision.Choice)),
		event.F("expected_ms", a.decision.Delay.Milliseconds()), event.F("usable", a.decision.Usable), event.F("granted", a.granted),
		event.F("sent", a.r.SendCount), event.F("took_ms", took.Milliseconds()),
	}
	if a.r.Account != nil {
		fields = append(fields, event.F("account", a.r.Account.Name))
	}
	if a.r.Relayed {
		fields = append(fields, event.F("from", a.r.From))
	}
	if after := a.delivery.resumeAfter(a.r.ResumeAfter); after != "" && a.r.Route.Resumable {
		fields = append(fields, event.F("resumes", a.r.Resumes), event.F("resumed_after", a.r.ResumeAfter), event.F("last_event", after))
	}
	switch a.decision.Choice {
	case placement.Local:
		if n := len(a.tried); n > 0 {
			fields = append(fields, event.F("instance", a.tried[n-1]), event.F("cold", a.ticket != nil && a.ticket.Cold))
			if a.decision.Slowdown != 1 {
				fields = append(fields, event.F("slowdown", a.decision.Slowdown))
			}
			if a.r.Prompt.InputTokens > 0 {
				fields = append(fields, event.F("cost_ms", a.decision.Cost.Milliseconds()), event.F("slot_wait_ms", a.decision.SlotWait.Milliseconds()),
					event.F("held_tokens", a.decision.HeldTokens), event.F("reserved_tokens", a.decision.ReservedTokens))
			}
		}
	case placement.Remote:
		fields = append(fields, event.F("region", a.decision.Region), event.F("view_age_ms", a.Regions.Age(now, a.decision.Region).Milliseconds()))
	}
	a.Metrics.Count("relay.requests", 1)
	a.Metrics.Observe("relay.total_us", took)
	if f == nil {
		timeToFirstByte := a.firstAt.Sub(a.r.Arrived)
		if a.firstAt.IsZero() {
			timeToFirstByte = took
		}
		a.Metrics.Observe("relay.first_us", timeToFirstByte)
		a.Log.Log(event.RequestServed, append(fields, event.F("status", a.last.status), event.F("first_ms", timeToFirstByte.Milliseconds()),
			event.F("head_ms", a.headAt.Sub(a.r.Arrived).Milliseconds()), event.F("max_gap_ms", a.maxGap.Milliseconds()), event.F("tokens", a.decision.Tokens),
			event.F("framing", a.framing), event.F("body_bytes", a.bodyBytes), event.F("events", a.events.complete), event.F("software", a.software))...)
		return
	}
	a.Metrics.Count("relay.failed."+string(f.Kind), 1)
	a.Log.Log(event.RequestFailed, append(fields, event.F("kind", f.Kind), event.F("run", f.Verdict()),
		event.F("broken", f.Broken), event.F("retry_after_ms", f.RetryAfter.Milliseconds()), event.F("detail", f.Message))...)
}

func choiceName(c placement.Choice) string {
	return [...]string{"refuse", "wait", "local", "remote"}[c]
}
