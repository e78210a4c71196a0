package entry

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// toOriginForm replaces a target in absolute form by its path and query, and the Host header
// by its authority, which takes precedence (RFC 9112, section 3.2.2). Other targets stay as
// they are.
func toOriginForm(h *fasthttp.RequestHeader) {
	scheme, rest, found := bytes.Cut(h.RequestURI(), []byte("://"))
	if !found || !bytes.EqualFold(scheme, []byte("http")) && !bytes.EqualFold(scheme, []byte("https")) {
		return
	}
	end := bytes.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	authority, target := bytes.Clone(rest[:end]), bytes.Clone(rest[end:])
	if len(target) == 0 || target[0] != '/' {
		target = append([]byte("/"), target...)
	}
	h.SetHostBytes(authority)
	h.SetRequestURIBytes(target)
}
