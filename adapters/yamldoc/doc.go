// Package yamldoc decodes YAML files into plain structs and reports every
// problem at once, each with its file, line and key. Unknown and repeated keys
// are problems. Anchors, aliases and tags are refused, so the size of a decoded
// file is bounded by the size of the file.
//
// Fields are named by their yaml tag. Durations are Go strings such as "2s",
// and a ByteSize is a string such as "1MiB"; both need their unit.
package yamldoc
