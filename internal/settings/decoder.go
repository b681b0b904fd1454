package settings

import (
	"bytes"
	"cmp"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	addressType  = reflect.TypeFor[netip.AddrPort]()
)

// A decoder decodes one file of JSON with comments into a struct and collects all
// problems with line and column. Package encoding/json is not used because it would
// lose the positions and accept duplicate keys.
type decoder struct {
	file     string
	data     []byte
	problems Problems
	// valueOffsets maps the path of each decoded value to its byte offset in data,
	// so that checks after decoding can report a position.
	valueOffsets map[string]int
}

// decodeFile decodes data into target, a pointer to a struct. The returned decoder
// holds the problems found.
func decodeFile(file string, data []byte, target any) *decoder {
	d := &decoder{file: file, data: data, valueOffsets: map[string]int{}}
	// Parse stops at the first syntax error; its message has line and column.
	tree, err := hujson.Parse(data)
	if err != nil {
		line, column, message := splitSyntaxError(err)
		d.problems = append(d.problems, Problem{File: file, Line: line, Column: column, Message: message})
		return d
	}
	d.decode("", tree, reflect.ValueOf(target).Elem())
	return d
}

// splitSyntaxError returns line, column and message of a syntax error of hujson,
// or line 1 and column 1 if the error has no position.
func splitSyntaxError(err error) (line, column int, message string) {
	message = strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(message, "line %d, column %d:", &line, &column); n == 2 {
		_, message, _ = strings.Cut(message, ": ")
		return line, column, message + ", expected JSON with comments"
	}
	return 1, 1, message + ", expected JSON with comments"
}

// sortedProblems returns the problems as an error of type Problems, ordered by
// line and column, or nil if there are none.
func (d *decoder) sortedProblems() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return d.problems
}

// addProblemAt records a problem at a byte offset of the file.
func (d *decoder) addProblemAt(offset int, key, format string, args ...any) {
	before := d.data[:min(offset, len(d.data))]
	d.problems = append(d.problems, Problem{
		File: d.file, Key: key, Message: fmt.Sprintf(format, args...),
		Line:   bytes.Count(before, []byte("\n")) + 1,
		Column: len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1,
	})
}

// addProblem records a problem at the value of a key. If the file lacks the key,
// the position is that of the innermost enclosing object or list in the file.
func (d *decoder) addProblem(key, format string, args ...any) {
	nearest := key
	for nearest != "" {
		if _, ok := d.valueOffsets[nearest]; ok {
			break
		}
		nearest = nearest[:max(0, strings.LastIndexAny(nearest, ".["))]
	}
	d.addProblemAt(d.valueOffsets[nearest], key, format, args...)
}

// decode decodes the value at path into target, by the type of target.
func (d *decoder) decode(path string, value hujson.Value, target reflect.Value) {
	d.valueOffsets[path] = value.StartOffset
	switch {
	case target.Type() == durationType:
		d.decodeDuration(path, value, target)
	case target.Type() == addressType:
		d.decodeAddress(path, value, target)
	case target.Kind() == reflect.Struct:
		d.decodeStruct(path, value, target)
	case target.Kind() == reflect.Map:
		d.decodeMap(path, value, target)
	case target.Kind() == reflect.Slice:
		d.decodeSlice(path, value, target)
	default:
		d.decodeLiteral(path, value, target)
	}
}

// forEachMember calls visit with the name and the path of each member of an object.
// A value that is no object and a duplicate name are recorded as problems; visit is
// not called for them.
func (d *decoder) forEachMember(path string, value hujson.Value, visit func(name, key string, member hujson.ObjectMember)) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.addProblem(path, "is no object, expected {...}")
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		key := joinPath(path, name)
		if seen[name] {
			d.addProblemAt(member.Name.StartOffset, key, "key is there twice, expected once")
			continue
		}
		seen[name] = true
		visit(name, key, member)
	}
}

func (d *decoder) decodeStruct(path string, value hujson.Value, target reflect.Value) {
	fields := map[string]int{}
	for i := range target.NumField() {
		fields[jsonKey(target.Type().Field(i))] = i
	}
	presentKeys := map[string]bool{}
	d.forEachMember(path, value, func(name, key string, member hujson.ObjectMember) {
		i, ok := fields[name]
		if !ok {
			d.addProblemAt(member.Name.StartOffset, key, "unknown key, expected one of %s", jsonKeys(target.Type()))
			return
		}
		presentKeys[name] = true
		d.decode(key, member.Value, target.Field(i))
	})
	for i := range target.NumField() {
		field := target.Type().Field(i)
		if field.Tag.Get("required") == "true" && !presentKeys[jsonKey(field)] {
			d.addProblem(joinPath(path, jsonKey(field)), "missing, expected %s", describeType(field.Type))
		}
	}
}

func (d *decoder) decodeMap(path string, value hujson.Value, target reflect.Value) {
	target.Set(reflect.MakeMap(target.Type()))
	d.forEachMember(path, value, func(name, key string, member hujson.ObjectMember) {
		element := reflect.New(target.Type().Elem()).Elem()
		d.decode(key, member.Value, element)
		target.SetMapIndex(reflect.ValueOf(name).Convert(target.Type().Key()), element)
	})
}

func (d *decoder) decodeSlice(path string, value hujson.Value, target reflect.Value) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.addProblem(path, "is no list, expected [...]")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decode(path+"["+strconv.Itoa(i)+"]", element, target.Index(i))
	}
}

func (d *decoder) decodeDuration(path string, value hujson.Value, target reflect.Value) {
	literal, ok := value.Value.(hujson.Literal)
	if ok && literal.Kind() == '"' {
		if duration, err := time.ParseDuration(literal.String()); err == nil && duration >= 0 {
			target.SetInt(int64(duration))
			return
		}
	}
	d.addProblem(path, "%s is no duration, expected %s", excerpt(value), describeType(target.Type()))
}

func (d *decoder) decodeAddress(path string, value hujson.Value, target reflect.Value) {
	literal, ok := value.Value.(hujson.Literal)
	if ok && literal.Kind() == '"' {
		if address, err := netip.ParseAddrPort(literal.String()); err == nil {
			target.Set(reflect.ValueOf(address))
			return
		}
	}
	d.addProblem(path, "%s is no address, expected %s", excerpt(value), describeType(target.Type()))
}

func (d *decoder) decodeLiteral(path string, value hujson.Value, target reflect.Value) {
	literal, _ := value.Value.(hujson.Literal)
	kind := byte(0)
	if len(literal) > 0 {
		kind = byte(literal.Kind())
	}
	var err error
	switch {
	case target.Kind() == reflect.String && kind == '"':
		target.SetString(literal.String())
		return
	case target.Kind() == reflect.Bool && (kind == 't' || kind == 'f'):
		target.SetBool(kind == 't')
		return
	case target.CanInt() && kind == '0':
		var number int64
		if number, err = strconv.ParseInt(string(literal), 10, target.Type().Bits()); err == nil {
			target.SetInt(number)
			return
		}
	case target.CanUint() && kind == '0':
		var number uint64
		if number, err = strconv.ParseUint(string(literal), 10, target.Type().Bits()); err == nil {
			target.SetUint(number)
			return
		}
	case target.CanFloat() && kind == '0':
		var number float64
		if number, err = strconv.ParseFloat(string(literal), 64); err == nil {
			target.SetFloat(number)
			return
		}
	}
	d.addProblem(path, "%s has the wrong type, expected %s", excerpt(value), describeType(target.Type()))
}

// describeType returns the values that a field of type t accepts, in the words of
// error messages and of the reference page.
func describeType(t reflect.Type) string {
	switch t {
	case durationType:
		return `a duration with its unit, as "250ms", "3s" or "2m"`
	case addressType:
		return `an IP address and a port, as "10.0.0.7:8080"`
	}
	switch t.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list, each " + describeType(t.Elem())
	case reflect.Struct, reflect.Map:
		return "an object"
	default:
		return "a whole number"
	}
}

// excerpt returns the text of a literal in the file, truncated for error messages,
// or "the value" for an object or a list.
func excerpt(value hujson.Value) string {
	const maxBytes = 40
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		return "the value"
	}
	if len(literal) > maxBytes {
		return string(literal[:maxBytes]) + "..."
	}
	return string(literal)
}

// joinPath appends a key to a path; the empty path is the root of the file.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// jsonKey returns the name in the json tag of a field.
func jsonKey(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// jsonKeys returns the keys of the struct type t, separated by commas.
func jsonKeys(t reflect.Type) string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = jsonKey(t.Field(i))
	}
	return strings.Join(names, ", ")
}
