// Package listfiles reads the operators' two lists from YAML files and merges
// them to one document.
package listfiles

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/crocusspread/crocusspread/adapters/yamldoc"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/lists"
)

// Names of the two files within their directory.
const (
	CustomersFile = "customers.yaml"
	PlansFile     = "plans.yaml"
)

// maxFileBytes bounds a file, comments included, before it is parsed.
const maxFileBytes = 8 << 20

// customersFile is the first list.
type customersFile struct {
	Customers []lists.Customer `yaml:"customers"`
}

// plansFile is the second list with what it refers to.
type plansFile struct {
	Regions  []domain.Region `yaml:"regions"`
	Plans    []lists.Plan    `yaml:"plans"`
	Services []lists.Service `yaml:"services"`
}

// Load reads and validates both lists from dir. Errors: not_found for a missing
// file; body_too_large; bad_request with a yamldoc.Problems as cause.
func Load(dir string) (*lists.Document, error) {
	customersPath := filepath.Join(dir, CustomersFile)
	plansPath := filepath.Join(dir, PlansFile)
	customers, err := readFile(customersPath)
	if err != nil {
		return nil, err
	}
	plans, err := readFile(plansPath)
	if err != nil {
		return nil, err
	}
	doc, problems := Parse(customersPath, customers, plansPath, plans)
	if len(problems) > 0 {
		return nil, errkind.New(errkind.BadRequest, "the lists are refused:\n%w", problems)
	}
	if err := doc.CheckSize(); err != nil {
		return nil, err
	}
	return doc, nil
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errkind.New(errkind.NotFound, "lists: %w", err)
	}
	if info.Size() > maxFileBytes {
		return nil, errkind.New(errkind.BodyTooLarge, "%s has %d bytes; %d is the most", path, info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.New(errkind.NotFound, "lists: %w", err)
	}
	return data, nil
}

// Parse decodes and validates both lists; the names stand for the files in
// problems.
func Parse(customersName string, customers []byte, plansName string, plans []byte) (*lists.Document, yamldoc.Problems) {
	var first customersFile
	var second plansFile
	customersDoc := yamldoc.Decode(customersName, customers, &first)
	plansDoc := yamldoc.Decode(plansName, plans, &second)
	doc := &lists.Document{
		Customers: first.Customers,
		Regions:   second.Regions,
		Plans:     second.Plans,
		Services:  second.Services,
	}
	// A file that is not readable would only cause wrong follow-up problems.
	if len(customersDoc.Problems) == 0 && len(plansDoc.Problems) == 0 {
		addProblems(doc, customersDoc, plansDoc)
	}
	problems := append(customersDoc.Problems, plansDoc.Problems...)
	problems.Sort()
	return doc, problems
}

func addProblems(doc *lists.Document, customers, plans *yamldoc.File) {
	for _, p := range doc.Problems() {
		file := plans
		if strings.HasPrefix(p.Key, "customers[") {
			file = customers
		}
		file.Addf(p.Key, "%s", p.Message)
	}
}
