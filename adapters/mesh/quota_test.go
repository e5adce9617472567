package mesh

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocusspread/crocusspread/adapters/mesh/meshpb"
	"github.com/crocusspread/crocusspread/core/quota"
)

// TestQuotaMessagesKeepTheirContent guards against rounding that grants more than the authority
// took from its bucket, or asks for less than a request needs.
func TestQuotaMessagesKeepTheirContent(t *testing.T) {
	demands := []quota.Demand{{Account: "a", Needed: 93000, Largest: 93000}, {Account: "b", Needed: 600, Largest: 200, Expected: 4000}, {Account: "c", Expected: 5}}
	if got := demandsFromWire(demandsToWire(demands)); !reflect.DeepEqual(got, demands) {
		t.Errorf("got demands %+v, want %+v", got, demands)
	}
	grants := []quota.Grant{{Account: "b", Tokens: 10.9, Validity: 999900 * time.Microsecond, RetryAfter: 1100 * time.Microsecond}}
	want := []quota.Grant{{Account: "b", Tokens: 10, Validity: 999 * time.Millisecond, RetryAfter: 2 * time.Millisecond}}
	if got := grantsFromWire(demands, grantsToWire(demands, grants)); !reflect.DeepEqual(got, want) {
		t.Errorf("got grants %+v, want %+v", got, want)
	}
	if got := grantsFromWire(demands, grantsToWire(demands, nil)); len(got) > 0 {
		t.Errorf("got grants %+v, want none", got)
	}
	a := quota.Announcement{Node: "n", Address: "10.1.0.35:8146", Era: 2, Term: 7, Age: 300 * time.Millisecond}
	if got := authorityFromWire(authorityToWire(a)); got != a {
		t.Errorf("got %+v, want %+v", got, a)
	}
	if got := authorityFromWire(authorityToWire(quota.Announcement{})); got != (quota.Announcement{}) {
		t.Errorf("got %+v, want nothing", got)
	}
}

// overhead is what a call adds to its message and to its reply: frame headers, compressed header
// fields and TCP/IP headers of two packets each way.
const overhead = 240 // bytes, both ways together

// TestSizeOfQuotaMessages reports the sizes of which the design note computes the traffic.
func TestSizeOfQuotaMessages(t *testing.T) {
	var demands []quota.Demand
	var grants []quota.Grant
	for _, account := range []string{"account-0001", "account-0002"} {
		demands = append(demands, quota.Demand{Account: account, Needed: 600, Largest: 200, Expected: 4000})
		grants = append(grants, quota.Grant{Account: account, Tokens: 4600, Validity: 900 * time.Millisecond})
	}
	size := func(n int) int {
		return proto.Size(&meshpb.QuotaRequest{Demands: demandsToWire(demands[:n])}) + proto.Size(&meshpb.QuotaReply{Grants: grantsToWire(demands[:n], grants[:n])})
	}
	each := size(2) - size(1)
	t.Logf("a draw has %d bytes of messages and %d for each account, both ways, and about %d on the wire beside that", size(1)-each, each, overhead)
	if each > 40 {
		t.Errorf("%d bytes for each account, want at most 40", each)
	}
	announcement := proto.Size(authorityToWire(quota.Announcement{Node: "front-region-a-12", Address: "10.1.0.35:8146", Era: 2, Term: 1 << 30, Age: time.Second}))
	t.Logf("the announcement of the authority in an exchange has %d bytes", announcement)
}
