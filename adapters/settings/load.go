package settings

import (
	"os"
	"path/filepath"

	"github.com/crocusspread/crocusspread/adapters/yamldoc"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// Load reads and validates the settings file at path. For an invalid file it returns
// an error of kind bad_request whose cause is a yamldoc.Problems.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.New(errkind.NotFound, "settings: %w", err)
	}
	s, problems := Parse(path, data)
	if len(problems) > 0 {
		return nil, errkind.New(errkind.BadRequest, "settings are invalid:\n%w", problems)
	}
	s.ResolvePaths(filepath.Dir(path))
	if problems := s.checkFiles(path); len(problems) > 0 {
		return nil, errkind.New(errkind.BadRequest, "settings are invalid:\n%w", problems)
	}
	return s, nil
}

// Parse decodes settings on top of the defaults and validates them; name identifies
// the file in problems.
func Parse(name string, data []byte) (*Settings, yamldoc.Problems) {
	if len(data) > maxFileBytes {
		return nil, yamldoc.Problems{{File: name, Message: "is larger than " + yamldoc.ByteSize(maxFileBytes).String()}}
	}
	s := Defaults()
	file := yamldoc.Decode(name, data, s)
	s.validate(file)
	file.Problems.Sort()
	return s, file.Problems
}

// ResolvePaths resolves relative paths of key and certificate files against dir.
func (s *Settings) ResolvePaths(dir string) {
	for _, file := range s.tlsFiles() {
		if *file.path != "" && !filepath.IsAbs(*file.path) {
			*file.path = filepath.Join(dir, *file.path)
		}
	}
}

// tlsFile is the path of a key or certificate file with its settings key.
type tlsFile struct {
	key  string
	path *string
}

// tlsFiles returns all key and certificate files.
func (s *Settings) tlsFiles() []tlsFile {
	return append(s.callerTLSFiles(), s.nodeTLSFiles()...)
}

func (s *Settings) callerTLSFiles() []tlsFile {
	return []tlsFile{
		{"tls.callers.cert", &s.TLS.Callers.Cert},
		{"tls.callers.key", &s.TLS.Callers.Key},
	}
}

func (s *Settings) nodeTLSFiles() []tlsFile {
	return []tlsFile{
		{"tls.nodes.cert", &s.TLS.Nodes.Cert},
		{"tls.nodes.key", &s.TLS.Nodes.Key},
		{"tls.nodes.ca", &s.TLS.Nodes.CA},
	}
}

// checkFiles reports the key and certificate files that cannot be opened.
func (s *Settings) checkFiles(name string) yamldoc.Problems {
	var problems yamldoc.Problems
	for _, file := range s.tlsFiles() {
		if *file.path == "" {
			continue
		}
		f, err := os.Open(*file.path)
		if err != nil {
			problems = append(problems, yamldoc.Problem{File: name, Key: file.key, Message: err.Error()})
			continue
		}
		f.Close()
	}
	return problems
}
