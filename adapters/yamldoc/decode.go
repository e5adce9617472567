package yamldoc

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// File is the result of decoding a file: the positions of its keys and its
// problems.
type File struct {
	Name     string
	Problems Problems
	// positions maps the path of each key to its position.
	positions map[string]Position
}

// Decode decodes data into the struct that into points to. Fields whose keys are not
// in the file keep their value. The returned File holds the problems.
func Decode(name string, data []byte, into any) *File {
	f := &File{Name: name, positions: make(map[string]Position)}
	tree, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		f.addSyntaxError(err)
		return f
	}
	switch len(tree.Docs) {
	case 0:
		return f
	case 1:
		f.decode("", tree.Docs[0].Body, reflect.ValueOf(into).Elem())
	default:
		f.Problems = append(f.Problems, Problem{File: name, Message: "contains more than one YAML document"})
	}
	return f
}

// Contains reports whether the file contains the key with the given path.
func (f *File) Contains(key string) bool {
	_, ok := f.positions[key]
	return ok
}

// Position returns the position of a key or, if the file does not contain it, of its
// nearest parent in the file.
func (f *File) Position(key string) Position {
	for key != "" {
		if p, ok := f.positions[key]; ok {
			return p
		}
		key = parentKey(key)
	}
	return Position{}
}

// Addf adds a problem at the position of a key.
func (f *File) Addf(key, format string, args ...any) {
	f.Problems = append(f.Problems, Problem{
		File:     f.Name,
		Position: f.Position(key),
		Key:      key,
		Message:  fmt.Sprintf(format, args...),
	})
}

func parentKey(key string) string {
	return key[:max(strings.LastIndexAny(key, ".["), 0)]
}

func (f *File) addSyntaxError(err error) {
	p := Problem{File: f.Name, Message: err.Error()}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		p.Message = yamlErr.GetMessage()
		p.Position = positionOf(yamlErr.GetToken())
	}
	f.Problems = append(f.Problems, p)
}

func positionOf(t *token.Token) Position {
	if t == nil || t.Position == nil {
		return Position{}
	}
	return Position{Line: t.Position.Line, Column: t.Position.Column}
}

// decode decodes node into v; key is the path of the node's key. The recursion depth
// is bounded by the nesting of the Go types, not by that of the file.
func (f *File) decode(key string, node ast.Node, v reflect.Value) {
	if node == nil || node.Type() == ast.NullType {
		return
	}
	if key != "" && !f.Contains(key) {
		f.positions[key] = positionOf(node.GetToken())
	}
	switch {
	case v.Kind() == reflect.Struct:
		f.decodeStruct(key, node, v)
	case v.Kind() == reflect.Slice:
		f.decodeSlice(key, node, v)
	default:
		f.decodeScalar(key, node, v)
	}
}

func (f *File) decodeStruct(key string, node ast.Node, v reflect.Value) {
	pairs, ok := mappingPairs(node)
	if !ok {
		f.Addf(key, "want a mapping of keys, found %s", describeNode(node))
		return
	}
	fields := fieldsByKey(v.Type())
	seen := make(map[string]bool)
	for _, pair := range pairs {
		name := pair.Key.GetToken().Value
		childKey := joinKey(key, name)
		index, known := fields[name]
		switch {
		case !known:
			f.addProblemAtKey(pair, childKey, "unknown key")
		case seen[name]:
			f.addProblemAtKey(pair, childKey, "key is repeated")
		default:
			f.positions[childKey] = positionOf(pair.Key.GetToken())
			f.decode(childKey, pair.Value, v.Field(index))
		}
		seen[name] = true
	}
}

func (f *File) addProblemAtKey(pair *ast.MappingValueNode, key, message string) {
	f.Problems = append(f.Problems, Problem{
		File:     f.Name,
		Position: positionOf(pair.Key.GetToken()),
		Key:      key,
		Message:  message,
	})
}

func (f *File) decodeSlice(key string, node ast.Node, v reflect.Value) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		f.Addf(key, "want a list, found %s", describeNode(node))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(sequence.Values), len(sequence.Values)))
	for i, element := range sequence.Values {
		f.decode(key+"["+strconv.Itoa(i)+"]", element, v.Index(i))
	}
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	byteSizeType = reflect.TypeFor[ByteSize]()
)

func (f *File) decodeScalar(key string, node ast.Node, v reflect.Value) {
	text, ok := scalarText(node)
	if !ok {
		f.Addf(key, "want %s, found %s", describeType(v.Type()), describeNode(node))
		return
	}
	if err := setScalar(node, text, v); err != nil {
		f.Addf(key, "%s", err.Error())
	}
}

func setScalar(node ast.Node, text string, v reflect.Value) error {
	switch {
	case v.Type() == durationType:
		return setDuration(text, v)
	case v.Type() == byteSizeType:
		return setByteSize(text, v)
	case v.Kind() == reflect.String:
		return setString(node, text, v)
	}
	return setIntOrBool(node, text, v)
}

func setDuration(text string, v reflect.Value) error {
	d, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		return fmt.Errorf("%q is not a duration: want a number with a unit, for instance \"500ms\", \"2s\" or \"10m\"", text)
	}
	v.SetInt(int64(d))
	return nil
}

func setByteSize(text string, v reflect.Value) error {
	size, err := ParseByteSize(text)
	if err != nil {
		return err
	}
	v.SetInt(int64(size))
	return nil
}

func setString(node ast.Node, text string, v reflect.Value) error {
	if node.Type() != ast.StringType && node.Type() != ast.LiteralType {
		return fmt.Errorf("want text, found %s; put it in quotes", describeNode(node))
	}
	v.SetString(text)
	return nil
}

// setIntOrBool sets an integer or boolean, which must be unquoted in the file.
func setIntOrBool(node ast.Node, text string, v reflect.Value) error {
	typeErr := fmt.Errorf("want %s, found %s", describeType(v.Type()), describeNode(node))
	switch {
	case v.Kind() == reflect.Bool && node.Type() == ast.BoolType:
		v.SetBool(text == "true" || text == "True" || text == "TRUE")
		return nil
	case v.CanInt() && node.Type() == ast.IntegerType:
		n, err := strconv.ParseInt(text, 10, v.Type().Bits())
		if err != nil {
			return typeErr
		}
		v.SetInt(n)
		return nil
	}
	return typeErr
}

func scalarText(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	}
	return "", false
}

func describeType(t reflect.Type) string {
	switch {
	case t == durationType:
		return "a duration"
	case t == byteSizeType:
		return "a size"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.String:
		return "text"
	}
	return "a whole number"
}

func describeNode(node ast.Node) string {
	switch node.Type() {
	case ast.MappingType, ast.MappingValueType:
		return "a mapping"
	case ast.SequenceType:
		return "a list"
	case ast.AnchorType, ast.AliasType, ast.TagType, ast.MergeKeyType:
		return "an anchor, alias or tag, which is not supported"
	}
	return fmt.Sprintf("%q", node.GetToken().Value)
}

func mappingPairs(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func fieldsByKey(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if name := KeyName(t.Field(i)); name != "" {
			fields[name] = i
		}
	}
	return fields
}

// KeyName returns the YAML key of a struct field, or "" if it has none.
func KeyName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func joinKey(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}
