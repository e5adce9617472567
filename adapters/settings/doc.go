// Package settings reads the YAML settings of a node. Every key is documented by the
// tags of its struct field, has a unit in its value or name, and has a default unless
// it is required. A file with unknown keys, wrong units or contradictory values is
// rejected with a list of all its problems, each with file, line and key.
package settings
