package adoption

import (
	"encoding/json"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
)

func validLists(v domain.ListsVersion) *lists.Versioned {
	return &lists.Versioned{Version: v, Change: lists.Change{Version: v}, Document: lists.Document{Regions: []domain.Region{"r"}}}
}

func invalidLists(v domain.ListsVersion) *lists.Versioned {
	return &lists.Versioned{Version: v, Change: lists.Change{Version: v}, Document: lists.Document{Regions: []domain.Region{""}}}
}

func encode(t interface{ Fatal(...any) }, v *lists.Versioned) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestLowerVersionIsNotAdopted(t *testing.T) {
	h := NewHolder(nil, nil)
	for _, step := range []struct {
		offered, want domain.ListsVersion
	}{{5, 5}, {4, 5}, {5, 5}, {9, 9}, {1, 9}} {
		if _, err := h.Adopt(validLists(step.offered)); err != nil {
			t.Fatal(err)
		}
		if h.Version() != step.want {
			t.Errorf("after %d: got version %d, want %d", step.offered, h.Version(), step.want)
		}
	}
}

func TestInvalidDocumentIsRefusedAndCurrentVersionRetained(t *testing.T) {
	var refused []domain.ListsVersion
	h := NewHolder(nil, func(v domain.ListsVersion, err error) { refused = append(refused, v) })
	if _, err := h.Adopt(validLists(3)); err != nil {
		t.Fatal(err)
	}
	if _, err := h.Adopt(invalidLists(4)); err == nil {
		t.Error("an invalid document was adopted")
	}
	if h.Version() != 3 || len(refused) != 1 || refused[0] != 4 {
		t.Errorf("got version %d and refused versions %v, want 3 and [4]", h.Version(), refused)
	}
}

func TestInvalidDocumentOfLowerVersionIsIgnored(t *testing.T) {
	refused := 0
	h := NewHolder(nil, func(domain.ListsVersion, error) { refused++ })
	if _, err := h.Adopt(validLists(3)); err != nil {
		t.Fatal(err)
	}
	if _, err := h.Adopt(invalidLists(2)); err != nil || refused != 0 {
		t.Errorf("a document of a lower version was validated: %v", err)
	}
}

func TestConcurrentAdoptionsEndAtTheHighestVersion(t *testing.T) {
	const versions = 200
	var seen []domain.ListsVersion
	h := NewHolder(func(s *lists.Snapshot) { seen = append(seen, s.Version) }, nil)
	var wg sync.WaitGroup
	for v := domain.ListsVersion(1); v <= versions; v++ {
		wg.Go(func() { _, _ = h.Adopt(validLists(v)) })
	}
	wg.Wait()
	for i := 1; i < len(seen); i++ {
		if seen[i] <= seen[i-1] {
			t.Fatalf("version %d was installed after version %d", seen[i], seen[i-1])
		}
	}
	if h.Version() != versions {
		t.Errorf("got version %d, want %d", h.Version(), versions)
	}
}

func TestInstallAfterAHigherVersionHasNoEffect(t *testing.T) {
	h := NewHolder(nil, nil)
	older, err := lists.Compile(validLists(3))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := h.Adopt(validLists(4)); err != nil {
		t.Fatal(err)
	}
	if h.install(older) || h.Version() != 4 {
		t.Fatalf("got version %d after a late compilation of version 3, want 4", h.Version())
	}
}

func TestVersionInForceNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHolder(nil, nil)
		f := NewFollower(DefaultConfig(), h, 1, epoch)
		last := domain.ListsVersion(0)
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			deliver(t, f)
			if h.Version() < last {
				t.Fatalf("version decreased from %d to %d", last, h.Version())
			}
			last = h.Version()
		}
	})
}

// deliver reports one arbitrary result or announcement to f.
func deliver(t *rapid.T, f *Follower) {
	v := domain.ListsVersion(rapid.IntRange(1, 20).Draw(t, "version"))
	doc := validLists(v)
	if rapid.IntRange(0, 4).Draw(t, "bad") == 0 {
		doc = invalidLists(v)
	}
	revision := uint64(rapid.IntRange(0, 20).Draw(t, "revision"))
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		f.ReadDone(epoch, newKVEntry(t, revision, doc), nil)
	case 1:
		f.WatchDone(epoch, newKVEntry(t, revision, doc), false, nil)
	case 2:
		f.PullDone(epoch, domain.NodeRef{ID: "p"}, doc, nil)
	case 3:
		f.RecordPeerVersion(domain.NodeRef{ID: "p"}, v)
	}
}
