package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Reference returns the reference page of the settings in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings of an entry host\n\n")
	b.WriteString("The file is JSON with comments and trailing commas. `persimmonmux check-settings FILE` checks it. ")
	b.WriteString("An unknown key, a key given twice, a wrong type or unit, or an address out of place is an error with file, line and column. ")
	b.WriteString("This page is made from the struct `Settings`; `go test ./internal/settings -update` writes it anew.\n")
	writeTable(&b, "", reflect.TypeFor[Settings]())
	return b.String()
}

// FrontReference returns the reference page of the settings of a front host in
// Markdown.
func FrontReference() string {
	var b strings.Builder
	b.WriteString("# Settings of a front host\n\n")
	b.WriteString("A front host is `persimmonmux front`, an entry host on the users' platform. The file is JSON with comments and trailing commas; `deploy/front.jsonc` is its template. ")
	b.WriteString("`persimmonmux check-settings --front FILE` checks it. ")
	b.WriteString("This page is made from the struct `Front`; `go test ./internal/settings -update` writes it anew.\n")
	writeTable(&b, "", reflect.TypeFor[Front]())
	return b.String()
}

func writeTable(b *strings.Builder, path string, t reflect.Type) {
	b.WriteString("\n| Key | Value | Default | Meaning |\n|---|---|---|---|\n")
	var nested []reflect.StructField
	for i := range t.NumField() {
		field := t.Field(i)
		if field.Type.Kind() == reflect.Struct && field.Type != addressType {
			nested = append(nested, field)
			continue
		}
		standard := field.Tag.Get("default")
		switch {
		case field.Tag.Get("required") == "true":
			standard = "required"
		case standard == "":
			standard = "none"
		case field.Type.Kind() == reflect.String || field.Type == durationType:
			standard = "`\"" + standard + "\"`"
		default:
			standard = "`" + standard + "`"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", join(path, keyOf(field)), expected(field.Type), standard, field.Tag.Get("help"))
	}
	for _, field := range nested {
		fmt.Fprintf(b, "\n## %s\n\n%s\n", keyOf(field), field.Tag.Get("help"))
		writeTable(b, join(path, keyOf(field)), field.Type)
	}
}
