package head

import "bytes"

// Value returns the value of the first field called name in b, which begins with a head or is the beginning of one. It is empty if
// there is no whole line of that field, or if the value is continued on another line or has bytes other than visible ASCII.
func Value(b []byte, name string) string {
	for {
		line, rest, whole := bytes.Cut(b, []byte("\n"))
		if !whole || len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return ""
		}
		b = rest
		k, v, ok := bytes.Cut(line, []byte(":"))
		if !ok || !bytes.EqualFold(k, []byte(name)) {
			continue
		}
		v = bytes.Trim(v, " \t\r")
		if len(rest) > 0 && (rest[0] == ' ' || rest[0] == '\t') || bytes.ContainsFunc(v, isNotVisible) {
			return ""
		}
		return string(v)
	}
}

func isNotVisible(r rune) bool { return r <= ' ' || r >= 0x7f }
