package upstream

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the fields that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// removeHopByHop removes the fields of one connection, also those that the
// Connection field names.
func removeHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
