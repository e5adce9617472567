package settings

import (
	"bufio"
	"fmt"
	"io"
	"reflect"
	"strings"
	"time"

	"github.com/crocusspread/crocusspread/adapters/yamldoc"
)

// Key is the documentation of one settings key.
type Key struct {
	// Path is the path of the key, with "[]" for the items of a list.
	Path string
	// Unit is the unit or format of the value; empty for groups of keys.
	Unit string
	// Default is the default value as written in YAML.
	Default  string
	Required bool
	// Description is the description of the key.
	Description string
	// depth is the number of groups around the key.
	depth int
	// name is the last element of Path.
	name string
	// item is set if the key belongs to the items of a list.
	item bool
}

// Keys returns the documentation of all keys, in file order.
func Keys() []Key {
	return appendKeys(nil, reflect.ValueOf(*Defaults()), "", 0, false)
}

// appendKeys appends the keys of a struct value.
func appendKeys(keys []Key, v reflect.Value, parent string, depth int, item bool) []Key {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key := newKey(field, v.Field(i), parent, depth)
		key.item = item
		keys = append(keys, key)
		switch field.Type.Kind() {
		case reflect.Struct:
			keys = appendKeys(keys, v.Field(i), key.Path, depth+1, item)
		case reflect.Slice:
			keys = appendKeys(keys, reflect.Zero(field.Type.Elem()), key.Path+"[]", depth+1, true)
		}
	}
	return keys
}

// newKey returns the documentation of the key of a struct field.
func newKey(field reflect.StructField, v reflect.Value, parent string, depth int) Key {
	name := yamldoc.KeyName(field)
	key := Key{
		Path:        strings.TrimPrefix(parent+"."+name, "."),
		Unit:        field.Tag.Get("unit"),
		Description: field.Tag.Get("doc"),
		Required:    strings.HasPrefix(field.Tag.Get("validate"), "required"),
		depth:       depth,
		name:        name,
	}
	if key.Unit != "" {
		key.Default = formatValue(v)
	}
	return key
}

// formatValue formats a default value as YAML.
func formatValue(v reflect.Value) string {
	switch value := v.Interface().(type) {
	case time.Duration:
		return formatDuration(value)
	case yamldoc.ByteSize:
		return value.String()
	}
	switch v.Kind() {
	case reflect.Slice:
		return "[]"
	case reflect.String:
		if v.Len() == 0 {
			return `""`
		}
	}
	return fmt.Sprint(v.Interface())
}

// formatDuration omits trailing zero units that time.Duration prints: 10m0s becomes
// 10m.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// PrintDefaults writes the default settings as YAML, with a comment for each
// key. Required keys are empty.
func PrintDefaults(w io.Writer) error {
	out := bufio.NewWriter(w)
	for _, key := range Keys() {
		printKey(out, key)
	}
	return out.Flush()
}

// printKey writes one key with its comment.
func printKey(out *bufio.Writer, key Key) {
	indent := strings.Repeat("  ", key.depth)
	if key.item {
		// Items of a list that is empty by default are written as comments.
		fmt.Fprintf(out, "%s#   %s (%s): %s\n", indent[2:], key.name, key.Unit, key.Description)
		return
	}
	if key.depth == 0 {
		out.WriteString("\n")
	}
	fmt.Fprintf(out, "%s# %s%s\n", indent, key.Description, unitNote(key))
	if key.Unit == "" {
		fmt.Fprintf(out, "%s%s:\n", indent, key.name)
		return
	}
	fmt.Fprintf(out, "%s%s: %s\n", indent, key.name, key.Default)
}

// unitNote returns the sentence on the unit in a key's comment.
func unitNote(key Key) string {
	switch {
	case key.Required:
		return " Required; " + key.Unit + "."
	case key.Unit != "":
		return " Unit: " + key.Unit + "."
	}
	return ""
}

// PrintTable writes the keys as a Markdown table.
func PrintTable(w io.Writer) error {
	out := bufio.NewWriter(w)
	out.WriteString("| key | unit | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, key := range Keys() {
		if key.Unit == "" {
			continue
		}
		fmt.Fprintf(out, "| `%s` | %s | %s | %s |\n", key.Path, key.Unit, defaultCell(key), key.Description)
	}
	return out.Flush()
}

// defaultCell returns the table cell for the default of a key.
func defaultCell(key Key) string {
	switch {
	case key.Required:
		return "required"
	case key.item:
		return "none"
	}
	return "`" + key.Default + "`"
}
