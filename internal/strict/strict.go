// Package strict decodes YAML into structs and collects every problem with its file, line
// and path. Unknown keys are problems, with the nearest known key as a suggestion.
//
// Decode returns a Document, to which callers add the problems of their own validation
// with Report.
package strict

import (
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"go.yaml.in/yaml/v3"
)

// Problem is one problem at one place of a file.
type Problem struct {
	File string
	Line int
	Path string // Keys joined by dots, such as "services.summaries.replicas".
	Text string
}

func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Path, p.Text)
}

// Problems lists the problems of one run. Sort orders them by file, line and path.
type Problems []Problem

// Error implements the error interface. It returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Sort orders problems by file, line and path.
func (ps Problems) Sort() {
	sort.SliceStable(ps, func(i, j int) bool {
		a, b := ps[i], ps[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Path < b.Path
	})
}

// Document is a decoded file with the line of each path.
type Document struct {
	File     string
	Lines    map[string]int
	Problems Problems
}

// Decode decodes YAML into out, a pointer to a struct whose fields are named by their yaml
// tags. Every problem is added to the document's Problems.
func Decode(file string, data []byte, out any) *Document {
	d := &Document{File: file, Lines: map[string]int{}}
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		d.report(1, "", strings.TrimPrefix(err.Error(), "yaml: "))
		return d
	}
	if len(root.Content) == 0 {
		return d
	}
	d.decodeValue(root.Content[0], "", reflect.ValueOf(out).Elem())
	return d
}

// Report adds a problem at path.
func (d *Document) Report(path, text string) {
	d.report(d.lineOf(path), path, text)
}

// lineOf returns the line of path or of its nearest parent that has one.
func (d *Document) lineOf(path string) int {
	for path != "" {
		if n, ok := d.Lines[path]; ok {
			return n
		}
		i := strings.LastIndexByte(path, '.')
		if i < 0 {
			break
		}
		path = path[:i]
	}
	return 1
}

func (d *Document) report(line int, path, text string) {
	d.Problems = append(d.Problems, Problem{File: d.File, Line: line, Path: path, Text: text})
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (d *Document) decodeValue(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	d.Lines[path] = n.Line
	switch {
	case v.Type() == reflect.TypeFor[time.Duration]():
		d.decodeDuration(n, path, v)
	case v.Kind() == reflect.Struct:
		d.decodeStruct(n, path, v)
	case v.Kind() == reflect.Map:
		d.decodeMap(n, path, v)
	case v.Kind() == reflect.Slice:
		d.decodeSlice(n, path, v)
	case n.Kind != yaml.ScalarNode:
		d.report(n.Line, path, "want one "+v.Kind().String())
	default:
		if err := n.Decode(v.Addr().Interface()); err != nil {
			d.report(n.Line, path, fmt.Sprintf("want %s, not %q", v.Kind(), n.Value))
		}
	}
}

func (d *Document) decodeDuration(n *yaml.Node, path string, v reflect.Value) {
	t, err := time.ParseDuration(n.Value)
	if err != nil || t < 0 {
		d.report(n.Line, path, fmt.Sprintf("want a duration such as 30s, not %q", n.Value))
		return
	}
	v.SetInt(int64(t))
}

func (d *Document) decodeStruct(n *yaml.Node, path string, v reflect.Value) {
	fields := map[string]reflect.Value{}
	collectFields(v, fields)
	d.eachPair(n, path, func(key, val *yaml.Node) {
		f, ok := fields[key.Value]
		if !ok {
			d.report(key.Line, joinPath(path, key.Value), "unknown key"+suggestion(key.Value, fields))
			return
		}
		d.decodeValue(val, joinPath(path, key.Value), f)
	})
}

// collectFields adds the fields of a struct to fields by their yaml tags, including those
// of inlined structs.
func collectFields(v reflect.Value, fields map[string]reflect.Value) {
	for i := range v.NumField() {
		name, option, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		switch {
		case option == "inline":
			collectFields(v.Field(i), fields)
		case name != "" && name != "-":
			fields[name] = v.Field(i)
		}
	}
}

func (d *Document) decodeMap(n *yaml.Node, path string, v reflect.Value) {
	if v.IsNil() {
		v.Set(reflect.MakeMap(v.Type()))
	}
	d.eachPair(n, path, func(key, val *yaml.Node) {
		e := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(val, joinPath(path, key.Value), e)
		v.SetMapIndex(reflect.ValueOf(key.Value).Convert(v.Type().Key()), e)
	})
}

func (d *Document) decodeSlice(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.report(n.Line, path, "want a list")
		return
	}
	for i, c := range n.Content {
		e := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(c, joinPath(path, strconv.Itoa(i)), e)
		v.Set(reflect.Append(v, e))
	}
}

func (d *Document) eachPair(n *yaml.Node, path string, each func(key, val *yaml.Node)) {
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return
	}
	if n.Kind != yaml.MappingNode {
		d.report(n.Line, path, "want a mapping")
		return
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		if first, dup := seen[key.Value]; dup {
			d.report(key.Line, joinPath(path, key.Value), fmt.Sprintf("duplicate key, first defined at line %d", first))
			continue
		}
		seen[key.Value] = key.Line
		each(key, n.Content[i+1])
	}
}

func suggestion(key string, fields map[string]reflect.Value) string {
	const maxDistance = 3
	best, bestDistance := "", maxDistance+1
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if n := levenshtein.ComputeDistance(key, name); n < bestDistance {
			best, bestDistance = name, n
		}
	}
	if best == "" {
		return "; known are " + strings.Join(names, ", ")
	}
	return fmt.Sprintf("; did you mean %q?", best)
}
