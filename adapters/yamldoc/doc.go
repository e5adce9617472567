// Package yamldoc decodes YAML files into plain structs and reports all problems
// together, each with its file, line and key. Unknown and duplicate keys are
// problems. Anchors, aliases and tags are rejected, so the size of the decoded data
// is bounded by the size of the file.
//
// The yaml tag of a field gives its key. Durations are Go duration strings such as
// "2s", and a ByteSize is a string such as "1MiB"; both require a unit.
package yamldoc
