package shape

// This file owns the lexer: one pass over the bytes of a statement by the lexical rules that PostgreSQL documents
// (chapter "Lexical Structure", and the names of chapter "SQL Key Words"). It allocates nothing and must never
// judge what a statement does; what two readings of the rules would split differently it calls bad.

// kind is the kind of a token. Punctuation is its own byte.
type kind uint8

const (
	kEnd     kind = iota
	kWord         // an identifier or key word without quotes
	kQuoted       // "x"
	kUnicode      // U&"x"
	kString       // any literal in quotes or dollars
	kNumber
	kParam  // $1
	kOp     // one or more operator characters
	kCast   // ::
	kAssign // := and =>
	kDots   // ..
	kPunct  // one of ( ) [ ] , ; . :
	kBad    // unterminated, junk, NUL, or open to two readings
)

// token is a piece of the statement: text[at:end].
type token struct {
	kind    kind
	punct   byte // of kPunct
	at, end int
}

// lexer walks over a statement. The zero value with text set is ready.
type lexer struct {
	text    []byte
	at      int
	oldRule bool // standard_conforming_strings is off: backslashes escape in plain literals too
	trust   bool // the setting is known: no literal is open to two readings
}

const (
	cSpace = 1 << iota
	cStart // may begin an identifier
	cPart  // may go on in one
	cDigit
	cOp
	cPunct
)

var chars = func() (t [256]uint8) {
	for _, c := range " \t\n\r\f" {
		t[c] = cSpace
	}
	for c := 0; c < 256; c++ {
		switch {
		case c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80:
			t[c] = cStart | cPart
		case c >= '0' && c <= '9':
			t[c] = cDigit | cPart
		case c == '$':
			t[c] = cPart
		}
	}
	for _, c := range "+-*/<>=~!@#%^&|`?" {
		t[c] = cOp
	}
	for _, c := range "()[],;.:" {
		t[c] = cPunct
	}
	return t
}()

func (l *lexer) peek(i int) byte {
	if l.at+i < len(l.text) {
		return l.text[l.at+i]
	}
	return 0
}

// next takes the next token.
func (l *lexer) next() token {
	text, at := l.text, l.at
	if at < len(text) && text[at] == ' ' {
		at++
	}
	if at < len(text) && chars[text[at]]&cStart != 0 { // a word, in most cases
		i := at + 1
		for i < len(text) && chars[text[i]]&cPart != 0 {
			i++
		}
		if i > at+1 || i >= len(text) || text[i] != '\'' && text[i] != '&' {
			l.at = i
			return token{kind: kWord, at: at, end: i}
		}
	}
	l.at = at
	if !l.skip() {
		return token{kind: kBad, at: l.at, end: len(l.text)}
	}
	if at = l.at; at >= len(text) {
		return token{kind: kEnd, at: at, end: at}
	}
	c := text[at]
	class := chars[c]
	switch {
	case class&cStart != 0:
		return l.word(at, c)
	case c == '\'':
		return l.quoted(at, at, l.oldRule, !l.oldRule)
	case c == '"':
		return l.name(at, at, kQuoted)
	case class&cDigit != 0, c == '.' && chars[l.peek(1)]&cDigit != 0:
		return l.number(at)
	case c == '$':
		return l.dollar(at)
	case class&cOp != 0:
		return l.operator(at)
	case class&cPunct != 0:
		l.at++
		t := token{kind: kPunct, at: at, end: l.at, punct: c}
		if c == ':' && l.peek(0) == ':' {
			l.at++
			t.kind, t.end = kCast, l.at
		} else if c == ':' && l.peek(0) == '=' {
			l.at++
			t.kind, t.end = kAssign, l.at
		} else if c == '.' && l.peek(0) == '.' {
			l.at++
			t.kind, t.end = kDots, l.at
		}
		return t
	}
	return l.bad(at)
}

func (l *lexer) bad(at int) token {
	l.at = len(l.text)
	return token{kind: kBad, at: at, end: l.at}
}

// skip passes over white space and comments, hints among them; false: a comment has no end.
func (l *lexer) skip() bool {
	for l.at < len(l.text) {
		c := l.text[l.at]
		switch {
		case chars[c]&cSpace != 0:
			l.at++
		case c != '-' && c != '/':
			return true
		case c == '-' && l.peek(1) == '-':
			for l.at < len(l.text) && l.text[l.at] != '\n' && l.text[l.at] != '\r' {
				if l.text[l.at] == 0 {
					return false
				}
				l.at++
			}
		case c == '/' && l.peek(1) == '*':
			deep := 1
			for l.at += 2; deep > 0; {
				switch {
				case l.at >= len(l.text) || l.text[l.at] == 0:
					return false
				case l.text[l.at] == '*' && l.peek(1) == '/':
					deep--
					l.at += 2
				case l.text[l.at] == '/' && l.peek(1) == '*':
					deep++
					l.at += 2
				default:
					l.at++
				}
			}
		default:
			return true
		}
	}
	return true
}

// word takes an identifier, or the literal that its first letter opens.
func (l *lexer) word(at int, c byte) token {
	next := l.peek(1)
	switch {
	case next != '\'' && next != '&':
	case next == '\'' && (c == 'e' || c == 'E'):
		return l.quoted(at, at+1, true, false)
	case next == '\'' && (c == 'b' || c == 'B' || c == 'x' || c == 'X'):
		return l.quoted(at, at+1, false, false)
	case next == '\'' && (c == 'n' || c == 'N'):
		return l.quoted(at, at+1, l.oldRule, !l.oldRule)
	case (c == 'u' || c == 'U') && next == '&' && l.peek(2) == '\'':
		if l.oldRule {
			return l.bad(at) // the server refuses it
		}
		return l.quoted(at, at+2, false, true)
	case (c == 'u' || c == 'U') && next == '&' && l.peek(2) == '"':
		return l.name(at, at+2, kUnicode)
	}
	i := at + 1
	for _, c := range l.text[i:] {
		if chars[c]&cPart == 0 {
			break
		}
		i++
	}
	l.at = i
	return token{kind: kWord, at: at, end: i}
}

// name takes an identifier in quotes that opens at from.
func (l *lexer) name(at, from int, k kind) token {
	for i := from + 1; i < len(l.text); i++ {
		switch l.text[i] {
		case 0:
			return l.bad(at)
		case '"':
			if i+1 < len(l.text) && l.text[i+1] == '"' {
				i++
				continue
			}
			if i == from+1 {
				return l.bad(at) // an empty name
			}
			l.at = i + 1
			return token{kind: k, at: at, end: l.at}
		}
	}
	return l.bad(at)
}

// quoted takes a literal that opens at from, with what continues it on further lines. Where a server of the other
// setting would end it elsewhere (a backslash before a quote), a doubtful one is bad.
func (l *lexer) quoted(at, from int, escapes, doubtful bool) token {
	i := from + 1
	doubtful = doubtful && !l.trust
	for {
		for ; ; i++ {
			if i >= len(l.text) || l.text[i] == 0 {
				return l.bad(at)
			}
			c := l.text[i]
			if c == '\\' && (escapes || doubtful && i+1 < len(l.text) && l.text[i+1] == '\'') {
				if doubtful {
					return l.bad(at)
				}
				i++
				if i >= len(l.text) || l.text[i] == 0 {
					return l.bad(at)
				}
				continue
			}
			if c != '\'' {
				continue
			}
			if i+1 < len(l.text) && l.text[i+1] == '\'' {
				i++
				continue
			}
			break
		}
		// White space with a line's end in it, then a quote: the literal goes on.
		l.at = i + 1
		more, line := l.at, false
		for more < len(l.text) {
			c := l.text[more]
			if c == '-' && more+1 < len(l.text) && l.text[more+1] == '-' {
				for more < len(l.text) && l.text[more] != '\n' && l.text[more] != '\r' {
					if l.text[more] == 0 {
						return l.bad(at)
					}
					more++
				}
				continue
			}
			if chars[c]&cSpace == 0 {
				break
			}
			line = line || c == '\n' || c == '\r'
			more++
		}
		if !line || more >= len(l.text) || l.text[more] != '\'' {
			return token{kind: kString, at: at, end: l.at}
		}
		i = more + 1
	}
}

// number takes a number of any form; letters right behind it are junk.
func (l *lexer) number(at int) token {
	i, t := at, l.text
	digits := func(class func(byte) bool) {
		for i < len(t) && (class(t[i]) || t[i] == '_' && i+1 < len(t) && class(t[i+1])) {
			i++
		}
	}
	dec := func(c byte) bool { return chars[c]&cDigit != 0 }
	if t[i] == '0' && i+1 < len(t) && (t[i+1]|0x20 == 'x' || t[i+1]|0x20 == 'o' || t[i+1]|0x20 == 'b') {
		i += 2
		digits(func(c byte) bool { return dec(c) || c|0x20 >= 'a' && c|0x20 <= 'f' })
	} else {
		digits(dec)
		if i < len(t) && t[i] == '.' && !(i+1 < len(t) && t[i+1] == '.') {
			i++
			digits(dec)
		}
		if i < len(t) && t[i]|0x20 == 'e' {
			j := i + 1
			if j < len(t) && (t[j] == '+' || t[j] == '-') {
				j++
			}
			if j < len(t) && dec(t[j]) {
				i = j
				digits(dec)
			}
		}
	}
	if i < len(t) && chars[t[i]]&cPart != 0 {
		return l.bad(at)
	}
	l.at = i
	return token{kind: kNumber, at: at, end: i}
}

// dollar takes a parameter or a literal in dollars.
func (l *lexer) dollar(at int) token {
	i := at + 1
	if i < len(l.text) && chars[l.text[i]]&cDigit != 0 {
		for i < len(l.text) && chars[l.text[i]]&cDigit != 0 {
			i++
		}
		if i < len(l.text) && chars[l.text[i]]&cPart != 0 {
			return l.bad(at)
		}
		l.at = i
		return token{kind: kParam, at: at, end: i}
	}
	for i < len(l.text) && l.text[i] != '$' && chars[l.text[i]]&(cStart|cDigit) != 0 {
		i++
	}
	if i >= len(l.text) || l.text[i] != '$' {
		return l.bad(at)
	}
	tag := l.text[at : i+1]
	for j := i + 1; j+len(tag) <= len(l.text); j++ {
		if l.text[j] == 0 {
			return l.bad(at)
		}
		if l.text[j] == '$' && string(l.text[j:j+len(tag)]) == string(tag) {
			l.at = j + len(tag)
			return token{kind: kString, at: at, end: l.at}
		}
	}
	return l.bad(at)
}

// operator takes the longest run of operator characters: up to a comment, and without a + or - at its end unless
// a character is in it that SQL's own operators lack.
func (l *lexer) operator(at int) token {
	i, t := at, l.text
	own := false
	for ; i < len(t) && chars[t[i]]&cOp != 0; i++ {
		if i+1 < len(t) && (t[i] == '-' && t[i+1] == '-' || t[i] == '/' && t[i+1] == '*') {
			break
		}
		switch t[i] {
		case '~', '!', '@', '#', '%', '^', '&', '|', '`', '?':
			own = true
		}
	}
	if !own {
		for i > at+1 && (t[i-1] == '+' || t[i-1] == '-') {
			i--
		}
	}
	l.at = i
	if i == at+2 && t[at] == '=' && t[at+1] == '>' {
		return token{kind: kAssign, at: at, end: i}
	}
	return token{kind: kOp, at: at, end: i}
}
