// Package cvprofile defines the kinds of calls that the load generator sends.
package cvprofile

// Profile describes one kind of call.
type Profile struct {
	// Name is the name of the kind in reports.
	Name string
	// Weight is the frequency of the kind, relative to the other profiles.
	Weight float64
	// Method, Host and Path are those of the requests. Path may have a query; in the path of a GET request, %d stands
	// for a random number.
	Method, Host, Path string
	// Bytes is the requested size of the response, whose content is checked; 0 requests a small response.
	Bytes int
	// WorkMs is the mean time in milliseconds that the upstream works on a request; 0 leaves it to the upstream.
	WorkMs float64
	// Keyed means that each call has a unique Idempotency-Key.
	Keyed bool
}

// Lanasur returns the profiles of the listings deployment.
func Lanasur() []Profile {
	return []Profile{
		{Name: "lookup", Weight: 0.90, Method: "GET", Host: "listings.lanasur.example", Path: "/lots/%d"},
		{Name: "reserve", Weight: 0.08, Method: "POST", Host: "listings.lanasur.example", Path: "/reservations", Keyed: true},
		{Name: "sheet", Weight: 0.02, Method: "GET", Host: "documents.lanasur.example", Path: "/sheets/%d", Bytes: 2 << 20},
	}
}

// Cedarstep returns the profiles of the bookings deployment.
func Cedarstep() []Profile {
	return []Profile{
		{Name: "slots", Weight: 0.85, Method: "GET", Host: "ordering.cedarstep.example", Path: "/slots/%d"},
		{Name: "order", Weight: 0.12, Method: "POST", Host: "ordering.cedarstep.example", Path: "/orders", Keyed: true},
		{Name: "drawing", Weight: 0.03, Method: "GET", Host: "drawings.cedarstep.example", Path: "/drawings/%d", Bytes: 2 << 20},
	}
}

// Bare returns a profile of lookups without work in the upstream, to measure the latency that a balancer adds.
func Bare() []Profile {
	return []Profile{{Name: "bare", Weight: 1, Method: "GET", Host: "listings.lanasur.example", Path: "/lots/%d?workMs=0"}}
}
