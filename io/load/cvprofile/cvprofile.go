// Package cvprofile is the description of one kind of call that the load tool sends.
package cvprofile

// Profile describes the calls of one kind.
type Profile struct {
	// Name names the kind in reports.
	Name string
	// Weight is the kind's part of all calls.
	Weight float64
	// Method, Host and Path make the request; the path may carry a query.
	Method, Host, Path string
	// Bytes is the size of the answer asked for, whose content is checked; 0 asks for a small one.
	Bytes int
	// WorkMs is the mean time that the upstream works, in milliseconds; 0 leaves it to the upstream.
	WorkMs float64
	// Keyed gives each call an Idempotency-Key of its own.
	Keyed bool
}

// Lanasur returns the calls of the listings deployment.
func Lanasur() []Profile {
	return []Profile{
		{Name: "lookup", Weight: 0.90, Method: "GET", Host: "listings.lanasur.example", Path: "/lots/%d"},
		{Name: "reserve", Weight: 0.08, Method: "POST", Host: "listings.lanasur.example", Path: "/reservations", Keyed: true},
		{Name: "sheet", Weight: 0.02, Method: "GET", Host: "documents.lanasur.example", Path: "/sheets/%d", Bytes: 2 << 20},
	}
}

// Cedarstep returns the calls of the bookings deployment.
func Cedarstep() []Profile {
	return []Profile{
		{Name: "slots", Weight: 0.85, Method: "GET", Host: "ordering.cedarstep.example", Path: "/slots/%d"},
		{Name: "order", Weight: 0.12, Method: "POST", Host: "ordering.cedarstep.example", Path: "/orders", Keyed: true},
		{Name: "drawing", Weight: 0.03, Method: "GET", Host: "drawings.cedarstep.example", Path: "/drawings/%d", Bytes: 2 << 20},
	}
}

// Bare returns lookups that the upstreams answer without any work, for measuring what a balancer adds.
func Bare() []Profile {
	return []Profile{{Name: "bare", Weight: 1, Method: "GET", Host: "listings.lanasur.example", Path: "/lots/%d?workMs=0"}}
}
