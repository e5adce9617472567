package edge

import (
	"net/http"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
)

// ReadyHandler returns the handler of readiness checks: 200 if ready, otherwise 503.
func ReadyHandler(d Dialect, ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+d.ReadyPath(), func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Directory serves lookups of entry nodes by callers.
type Directory struct {
	Dialect Dialect
	// Entries returns the entry addresses for callers of a host from a region.
	Entries func(host string, region domain.Region) []string
	// TTL is how long callers may cache a response.
	TTL time.Duration
	Log event.Logger
}

// Handler returns the HTTP handler of the directory.
func (d *Directory) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+d.Dialect.DirectoryPath(), d.serve)
	return mux
}

func (d *Directory) serve(w http.ResponseWriter, r *http.Request) {
	query := d.Dialect.ParseDirectoryQuery(r)
	addresses := d.Entries(query.Host, query.Region)
	if len(addresses) == 0 {
		d.Log.Log(event.DirectoryEmpty, event.F("host", query.Host), event.F("region", query.Region))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, contentType, err := d.Dialect.EncodeEntries(addresses, d.TTL)
	if err != nil {
		d.Log.Log(event.DirectoryEmpty, event.F("host", query.Host), event.F("error", err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(body) // an error means that the caller has disconnected
}
