package answer

import "regexp"

// fieldLines is the pattern of the fields of a head, with folded lines.
const fieldLines = "([!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t\\x20-\\x7e\\x80-\\xff]*\\r?\\n([ \\t][\\t\\x20-\\x7e\\x80-\\xff]*\\r?\\n)*)*"

// soundHead is the pattern of the head of a final answer with the interim ones before it, by RFC 9112.
// It is written apart from the parser, to check it.
var soundHead = regexp.MustCompile(`^(HTTP/1\.1 1(0[02-9]|[1-9][0-9])( [\t\x20-\x7e\x80-\xff]*)?\r?\n` + fieldLines + `\r?\n)*` +
	`HTTP/1\.[01] [2-5][0-9][0-9]( [\t\x20-\x7e\x80-\xff]*)?\r?\n` + fieldLines + `\r?\n`)

// HasSoundHead reports whether bytes begin with the head of an answer. Whether its lengths fit together
// is left open.
func HasSoundHead(text string) bool {
	runes := make([]rune, len(text))
	for n := range len(text) {
		runes[n] = rune(text[n])
	}
	return soundHead.MatchString(string(runes))
}
