// Package listfiles reads the operators' two lists from YAML files and merges them
// into one document.
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

// Names of the two files in the lists directory.
const (
	CustomersFile = "customers.yaml"
	PlansFile     = "plans.yaml"
)

// maxFileBytes is the maximum size of a file, including comments. It is checked
// before the file is parsed.
const maxFileBytes = 8 << 20

// customersFile is the content of the customer list.
type customersFile struct {
	Customers []lists.Customer `yaml:"customers"`
}

// plansFile is the content of the plan list, with the regions and services that the
// plans refer to.
type plansFile struct {
	Regions  []domain.Region `yaml:"regions"`
	Plans    []lists.Plan    `yaml:"plans"`
	Services []lists.Service `yaml:"services"`
}

// Load reads and validates both lists in dir. It returns an error of kind not_found
// for a missing or unreadable file, body_too_large for a file or document that is
// too large, or bad_request, which wraps yamldoc.Problems, for invalid lists.
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
		return nil, errkind.New(errkind.BadRequest, "the lists are invalid:\n%w", problems)
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
		return nil, errkind.New(errkind.BodyTooLarge, "%s has %d bytes, the maximum is %d", path, info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.New(errkind.NotFound, "lists: %w", err)
	}
	return data, nil
}

// Parse decodes and validates both lists. Problems refer to the files by the given
// names.
func Parse(customersName string, customers []byte, plansName string, plans []byte) (*lists.Document, yamldoc.Problems) {
	var customersData customersFile
	var plansData plansFile
	customersDoc := yamldoc.Decode(customersName, customers, &customersData)
	plansDoc := yamldoc.Decode(plansName, plans, &plansData)
	doc := &lists.Document{
		Customers: customersData.Customers,
		Regions:   plansData.Regions,
		Plans:     plansData.Plans,
		Services:  plansData.Services,
	}
	// Validating after decoding has failed would only report spurious follow-up
	// problems.
	if len(customersDoc.Problems) == 0 && len(plansDoc.Problems) == 0 {
		addDocumentProblems(doc, customersDoc, plansDoc)
	}
	problems := append(customersDoc.Problems, plansDoc.Problems...)
	problems.Sort()
	return doc, problems
}

func addDocumentProblems(doc *lists.Document, customers, plans *yamldoc.File) {
	for _, p := range doc.Problems() {
		file := plans
		if strings.HasPrefix(p.Key, "customers[") {
			file = customers
		}
		file.Addf(p.Key, "%s", p.Message)
	}
}
