package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Reference returns the reference page of Settings in Markdown. A test compares it
// with docs/reference/settings.md.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings of an entry host\n\n")
	b.WriteString("The file is JSON with comments and trailing commas. `persimmonmux check-settings FILE` checks it. ")
	b.WriteString("An unknown key, a key given twice, a wrong type or unit, or an address out of place is an error with file, line and column. ")
	b.WriteString("This page is made from the struct `Settings`; `go test ./internal/settings -update` writes it anew.\n")
	writeTable(&b, "", reflect.TypeFor[Settings]())
	return b.String()
}

// FrontReference returns the reference page of Front in Markdown. A test compares
// it with docs/reference/front-settings.md.
func FrontReference() string {
	var b strings.Builder
	b.WriteString("# Settings of a front host\n\n")
	b.WriteString("A front host is `persimmonmux front`, an entry host on the users' platform. The file is JSON with comments and trailing commas; `deploy/front.jsonc` is its template. ")
	b.WriteString("`persimmonmux check-settings --front FILE` checks it. ")
	b.WriteString("This page is made from the struct `Front`; `go test ./internal/settings -update` writes it anew.\n")
	writeTable(&b, "", reflect.TypeFor[Front]())
	return b.String()
}

// writeTable writes one table row for each field of struct type t, whose keys are
// below path, followed by a section for each field that is a struct.
func writeTable(b *strings.Builder, path string, t reflect.Type) {
	b.WriteString("\n| Key | Value | Default | Meaning |\n|---|---|---|---|\n")
	var nested []reflect.StructField
	for i := range t.NumField() {
		field := t.Field(i)
		if field.Type.Kind() == reflect.Struct && field.Type != addressType {
			nested = append(nested, field)
			continue
		}
		defaultText := field.Tag.Get("default")
		switch {
		case field.Tag.Get("required") == "true":
			defaultText = "required"
		case defaultText == "":
			defaultText = "none"
		case field.Type.Kind() == reflect.String || field.Type == durationType:
			defaultText = "`\"" + defaultText + "\"`"
		default:
			defaultText = "`" + defaultText + "`"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", joinPath(path, jsonKey(field)), describeType(field.Type), defaultText, field.Tag.Get("help"))
	}
	for _, field := range nested {
		fmt.Fprintf(b, "\n## %s\n\n%s\n", jsonKey(field), field.Tag.Get("help"))
		writeTable(b, joinPath(path, jsonKey(field)), field.Type)
	}
}
