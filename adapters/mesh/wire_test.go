package mesh

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/crocusspread/crocusspread/adapters/mesh/meshpb"
)

// fieldsFile lists each field that a landed build has sent or read, one to a line. Lines are only ever added.
const fieldsFile = "testdata/fields.txt"

// presentFields returns the fields and calls of the protocol as in fieldsFile.
func presentFields() map[string]bool {
	fields := make(map[string]bool)
	var add func(messages protoreflect.MessageDescriptors)
	add = func(messages protoreflect.MessageDescriptors) {
		for i := range messages.Len() {
			m := messages.Get(i)
			for j := range m.Fields().Len() {
				f := m.Fields().Get(j)
				kind := f.Kind().String()
				if f.Message() != nil {
					kind = string(f.Message().FullName())
				}
				fields[fmt.Sprintf("%s %d %s %s %s", m.FullName(), f.Number(), f.Name(), f.Cardinality(), kind)] = true
			}
			add(m.Messages())
		}
	}
	file := meshpb.File_mesh_proto
	add(file.Messages())
	for i := range file.Services().Len() {
		methods := file.Services().Get(i).Methods()
		for j := range methods.Len() {
			m := methods.Get(j)
			fields[fmt.Sprintf("%s call %s %s %v", m.FullName(), m.Input().FullName(), m.Output().FullName(), m.IsStreamingServer())] = true
		}
	}
	return fields
}

// TestFieldsOfEarlierBuildsAreUnchanged guards against a field that a node of an earlier build reads as something else.
func TestFieldsOfEarlierBuildsAreUnchanged(t *testing.T) {
	file, err := os.Open(fieldsFile)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	present := presentFields()
	numbers := make(map[string]string) // the field of each number that an earlier build knows
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if !present[lines.Text()] {
			t.Errorf("%s: not in the protocol any more, or changed", lines.Text())
		}
		numbers[numberOf(lines.Text())] = lines.Text()
		delete(present, lines.Text())
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	for added := range present {
		if earlier := numbers[numberOf(added)]; earlier != "" {
			t.Errorf("%s: an earlier build reads it as %s", added, earlier)
		}
		t.Errorf("%s: new; add the line to %s", added, fieldsFile)
	}
}

// numberOf returns the message and number of a field, or a call.
func numberOf(line string) string {
	words := strings.SplitN(line, " ", 3)
	return strings.Join(words[:2], " ")
}
