package orders

import (
	"slices"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
)

// DesiredModels returns the sorted names of the models that the plans may use in a region.
func DesiredModels(d *lists.Document, region domain.Region) []string {
	models := make(map[string]struct{})
	for i := range d.Plans {
		p := &d.Plans[i]
		if !allowsRegion(p, region) {
			continue
		}
		for _, m := range p.Models {
			models[m] = struct{}{}
		}
	}
	names := make([]string, 0, len(models))
	for m := range models {
		names = append(names, m)
	}
	slices.Sort(names)
	return names
}

func allowsRegion(p *lists.Plan, region domain.Region) bool {
	if p.HomeOnly {
		return p.Home == region
	}
	return slices.Contains(p.Regions, region)
}
