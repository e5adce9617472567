package settings

import (
	"os"
	"path/filepath"

	"github.com/crocusspread/crocusspread/adapters/yamldoc"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// Load reads and checks the settings file at path. The error of a refused file
// is of kind bad_request, and its cause is a yamldoc.Problems.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.New(errkind.NotFound, "settings: %w", err)
	}
	s, problems := Parse(path, data)
	if len(problems) > 0 {
		return nil, errkind.New(errkind.BadRequest, "settings are refused:\n%w", problems)
	}
	s.Provision(filepath.Dir(path))
	if problems := s.checkFiles(path); len(problems) > 0 {
		return nil, errkind.New(errkind.BadRequest, "settings are refused:\n%w", problems)
	}
	return s, nil
}

// Parse decodes and validates settings over the defaults; name stands for the
// file in problems.
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

// Provision completes the settings: relative paths of key material start at dir.
func (s *Settings) Provision(dir string) {
	for _, file := range s.tlsFiles() {
		if *file.path != "" && !filepath.IsAbs(*file.path) {
			*file.path = filepath.Join(dir, *file.path)
		}
	}
}

// tlsFile is one file of key material with its key.
type tlsFile struct {
	key  string
	path *string
}

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

// checkFiles opens every file of key material.
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
