package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/crocusspread/crocusspread/adapters/adminapi"
	"github.com/crocusspread/crocusspread/adapters/callerapi"
)

// TestDemoAnswersAndExplains runs the demo's checks and asks the entry why it
// forwarded a request.
func TestDemoAnswersAndExplains(t *testing.T) {
	f, err := Start(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var out strings.Builder
	if err := Check(t.Context(), &out, f); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	entry := f.NodeIn(northDomain)
	r, err := caller{"http://" + entry.Caller, SouthKey}.do(t.Context(), http.MethodPost, "/v1/chat/completions", nil, fmt.Sprintf(question, false))
	if err != nil {
		t.Fatal(err)
	}
	e := explanation(t.Context(), t, entry.Admin, r.header.Get(callerapi.HeaderRequestID))
	if e.Plan != "south" || e.Result.Place.FailureDomain != southDomain {
		t.Errorf("plan %q ran in %q", e.Plan, e.Result.Place.FailureDomain)
	}
	if len(e.Steps) == 0 || !strings.Contains(e.Steps[0].Detail, "region_forbidden") {
		t.Errorf("the explanation does not say why the north was left out: %+v", e.Steps)
	}
}

func explanation(ctx context.Context, t *testing.T, admin, id string) adminapi.Explanation {
	t.Helper()
	r, err := caller{base: "http://" + admin}.do(ctx, http.MethodGet, adminapi.ExplainPath+id, nil, "")
	if err != nil {
		t.Fatal(err)
	}
	var e adminapi.Explanation
	if err := json.Unmarshal(r.body, &e); err != nil {
		t.Fatalf("%v: %s", err, r.body)
	}
	return e
}
