package settings

import (
	"bytes"
	"fmt"
	"strconv"
)

// Sample returns a settings file, valid for Load, that lists every setting with
// a comment and its default or an example.
func Sample() []byte {
	defaults := Default()
	var out bytes.Buffer
	out.WriteString("# Settings of one entry host of magnoliashore.\n")
	section := ""
	for _, f := range fields() {
		if f.section != section {
			section = f.section
			fmt.Fprintf(&out, "\n%s:\n", section)
		}
		writeField(&out, f, &defaults)
	}
	return out.Bytes()
}

func writeField(out *bytes.Buffer, f field, defaults *Settings) {
	indent := ""
	if f.section != "" {
		indent = "  "
	}
	text := f.example
	if text == "" {
		text = f.value.get(defaults)
	}
	fmt.Fprintf(out, "%s# %s\n%s%s: %s\n", indent, f.doc, indent, f.key, quoteScalar(text))
}

// quoteScalar quotes text that YAML would not read as a plain string.
func quoteScalar(text string) string {
	if text == "" || bytes.ContainsAny([]byte(text), ":#\"'\\{}[],&*!|>%@` \t\r\n") {
		return strconv.Quote(text)
	}
	return text
}
