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

// A decoder decodes JSON with comments into structs and collects all problems
// with their places. Package json would drop the places and accept a key twice.
type decoder struct {
	file     string
	data     []byte
	problems Problems
	// places has the offset of each key's value by path, for later checks.
	places map[string]int
}

// decodeFile decodes data into target, a pointer to a struct.
func decodeFile(file string, data []byte, target any) *decoder {
	d := &decoder{file: file, data: data, places: map[string]int{}}
	// Parse ends at the first fault of syntax; its message has line and column.
	tree, err := hujson.Parse(data)
	if err != nil {
		line, column, message := syntaxPlace(err)
		d.problems = append(d.problems, Problem{File: file, Line: line, Column: column, Message: message})
		return d
	}
	d.decode("", tree, reflect.ValueOf(target).Elem())
	return d
}

// syntaxPlace takes line and column out of an error of hujson.
func syntaxPlace(err error) (line, column int, message string) {
	message = strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(message, "line %d, column %d:", &line, &column); n == 2 {
		_, message, _ = strings.Cut(message, ": ")
		return line, column, message + ", expected JSON with comments"
	}
	return 1, 1, message + ", expected JSON with comments"
}

// result returns the problems in the order of their places, or nil.
func (d *decoder) result() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return d.problems
}

// failAt notes a problem at an offset.
func (d *decoder) failAt(offset int, key, format string, args ...any) {
	before := d.data[:min(offset, len(d.data))]
	d.problems = append(d.problems, Problem{
		File: d.file, Key: key, Message: fmt.Sprintf(format, args...),
		Line:   bytes.Count(before, []byte("\n")) + 1,
		Column: len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1,
	})
}

// fail notes a problem at the value of a key, or at the nearest key around it.
func (d *decoder) fail(key, format string, args ...any) {
	place := key
	for place != "" {
		if _, ok := d.places[place]; ok {
			break
		}
		place = place[:max(0, strings.LastIndexAny(place, ".["))]
	}
	d.failAt(d.places[place], key, format, args...)
}

func (d *decoder) decode(path string, value hujson.Value, target reflect.Value) {
	d.places[path] = value.StartOffset
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

// members calls use for each member of an object once.
func (d *decoder) members(path string, value hujson.Value, use func(name, key string, member hujson.ObjectMember)) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.fail(path, "is no object, expected {...}")
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		key := join(path, name)
		if seen[name] {
			d.failAt(member.Name.StartOffset, key, "key is there twice, expected once")
			continue
		}
		seen[name] = true
		use(name, key, member)
	}
}

func (d *decoder) decodeStruct(path string, value hujson.Value, target reflect.Value) {
	fields := map[string]int{}
	for i := range target.NumField() {
		fields[keyOf(target.Type().Field(i))] = i
	}
	given := map[string]bool{}
	d.members(path, value, func(name, key string, member hujson.ObjectMember) {
		i, ok := fields[name]
		if !ok {
			d.failAt(member.Name.StartOffset, key, "unknown key, expected one of %s", keysOf(target.Type()))
			return
		}
		given[name] = true
		d.decode(key, member.Value, target.Field(i))
	})
	for i := range target.NumField() {
		field := target.Type().Field(i)
		if field.Tag.Get("required") == "true" && !given[keyOf(field)] {
			d.fail(join(path, keyOf(field)), "missing, expected %s", expected(field.Type))
		}
	}
}

func (d *decoder) decodeMap(path string, value hujson.Value, target reflect.Value) {
	target.Set(reflect.MakeMap(target.Type()))
	d.members(path, value, func(name, key string, member hujson.ObjectMember) {
		element := reflect.New(target.Type().Elem()).Elem()
		d.decode(key, member.Value, element)
		target.SetMapIndex(reflect.ValueOf(name).Convert(target.Type().Key()), element)
	})
}

func (d *decoder) decodeSlice(path string, value hujson.Value, target reflect.Value) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.fail(path, "is no list, expected [...]")
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
	d.fail(path, "%s is no duration, expected %s", shown(value), expected(target.Type()))
}

func (d *decoder) decodeAddress(path string, value hujson.Value, target reflect.Value) {
	literal, ok := value.Value.(hujson.Literal)
	if ok && literal.Kind() == '"' {
		if address, err := netip.ParseAddrPort(literal.String()); err == nil {
			target.Set(reflect.ValueOf(address))
			return
		}
	}
	d.fail(path, "%s is no address, expected %s", shown(value), expected(target.Type()))
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
	d.fail(path, "%s has the wrong type, expected %s", shown(value), expected(target.Type()))
}

// expected says what values a type takes.
func expected(t reflect.Type) string {
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
		return "a list, each " + expected(t.Elem())
	case reflect.Struct, reflect.Map:
		return "an object"
	default:
		return "a whole number"
	}
}

// shown returns a value as it stands in the file, shortened.
func shown(value hujson.Value) string {
	const longest = 40
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		return "the value"
	}
	if len(literal) > longest {
		return string(literal[:longest]) + "..."
	}
	return string(literal)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// keyOf returns the key of a field.
func keyOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func keysOf(t reflect.Type) string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = keyOf(t.Field(i))
	}
	return strings.Join(names, ", ")
}
