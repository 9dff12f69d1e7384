package cvservice

import (
	"comfreyvale/core/cvfield"
	"comfreyvale/core/cvschema"
)

const (
	namePattern = `[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?`
	nameAllowed = "1 to 63 of a-z, 0-9 and -"
	pathPattern = `/[!-~]*`
	pathAllowed = "a path that begins with /"
)

// schema describes the fields of a service file.
var schema = cvschema.New([]cvfield.Field{
	{Path: "service", Kind: cvfield.Text, Required: true, Pattern: namePattern, Allowed: nameAllowed, Effect: "Name of the service, unique in the deployment."},
	{Path: "host", Kind: cvfield.Text, Required: true, Pattern: `\*|[a-z0-9][a-z0-9.-]{0,252}`, Allowed: "a host name in lower case, or * for any", Effect: "Host name of the requests to the service; the port in the Host header is ignored."},
	{Path: "pathPrefix", Kind: cvfield.Text, Default: "/", Pattern: pathPattern, Allowed: pathAllowed, Effect: "Path prefix of the requests to the service; if several services match, the longest prefix wins."},
	{Path: "group", Kind: cvfield.Text, Required: true, Pattern: namePattern, Allowed: nameAllowed, Effect: "Group in the platform's VM list whose VMs are the upstreams of the service."},
	{Path: "slots", Kind: cvfield.Count, Default: "4", Min: "1", Max: "1000", Effect: "Maximum number of requests that one upstream runs at the same time. The limit holds for all balancers together, as far as each knows the load that the others send."},
	{Path: "connections", Kind: cvfield.Count, Default: "32", Min: "1", Max: "250", Effect: "Maximum number of connections from one balancer to one upstream."},
	{Path: "timeout", Kind: cvfield.Duration, Default: "2s", Min: "10ms", Max: "10m", Effect: "Timeout of a request, retries included, unless its class sets another one or its caller a shorter one."},
	{Path: "queue", Kind: cvfield.Count, Default: "256", Min: "0", Max: "100000", Effect: "Maximum number of requests that wait in one balancer for a free slot; further requests are refused."},
	{Path: "requestLimit", Kind: cvfield.Size, Default: "1MiB", Min: "0B", Max: "64MiB", Effect: "Maximum size of a request body."},
	{Path: "heldAnswerLimit", Kind: cvfield.Size, Default: "1MiB", Min: "0B", Max: "64MiB", Effect: "Largest response that the balancer buffers completely before it sends the first byte to the caller; larger responses are streamed."},
	{Path: "retryShare", Kind: cvfield.Share, Default: "10%", Min: "0%", Max: "100%", Effect: "Retry budget: retries and hedges together, as a share of requests."},
	{Path: "retryBurst", Kind: cvfield.Count, Default: "10", Min: "0", Max: "10000", Effect: "Maximum number of retries and hedges in the retry budget of one balancer; the budget starts full."},
	{Path: "triesPerCall", Kind: cvfield.Count, Default: "3", Min: "1", Max: "10", Effect: "Maximum number of attempts per request, the first included."},
	{Path: "hedgeQuantile", Kind: cvfield.Share, Default: "95%", Min: "50%", Max: "100%", Effect: "Latency quantile of the recent requests of a class after which an idempotent request is hedged; 100% turns hedging off."},
	{Path: "measureBudget", Kind: cvfield.Share, Default: "0%", Min: "0%", Max: "20%", Effect: "Load probes to upstreams, as a share of the requests that one balancer sends to them. With 0% a balancer learns the load from responses and peers alone."},
	{Path: "ejectFailures", Kind: cvfield.Count, Default: "5", Min: "1", Max: "1000", Effect: "Number of consecutive failures after which an upstream is ejected."},
	{Path: "ejectTime", Kind: cvfield.Duration, Default: "2s", Min: "10ms", Max: "5m", Effect: "How long an ejected upstream receives no requests; after that time a single request probes it."},
	{Path: "ejectFloor", Kind: cvfield.Share, Default: "50%", Min: "0%", Max: "100%", Effect: "Minimum share of the upstreams that are not ejected, however many of them fail."},
	{Path: "claimWindow", Kind: cvfield.Duration, Default: "10m", Min: "1s", Max: "24h", Effect: "How long an Idempotency-Key is remembered after its claim; a key that is sent again later counts as new."},
	{Path: "requireKey", Kind: cvfield.Flag, Default: "false", Effect: "Whether non-idempotent requests without an Idempotency-Key are refused."},
	{Path: "quarantineTime", Kind: cvfield.Duration, Default: "1m", Min: "1s", Max: "1h", Effect: "How long a request that crashed two upstreams is refused."},
	{Path: "classes", Kind: cvfield.List, Effect: "Classes of requests; the first class that matches a request applies."},
	{Path: "classes[].name", Kind: cvfield.Text, Required: true, Pattern: namePattern, Allowed: nameAllowed, Effect: "Name of the class."},
	{Path: "classes[].methods", Kind: cvfield.Texts, Default: "", Pattern: `[A-Z]+`, Allowed: "methods in upper case", Effect: "HTTP methods of the class; all methods if the field is left out."},
	{Path: "classes[].pathPrefix", Kind: cvfield.Text, Default: "/", Pattern: pathPattern, Allowed: pathAllowed, Effect: "Path prefix of the requests of the class."},
	{Path: "classes[].idempotent", Kind: cvfield.Text, Default: "byMethod", Pattern: "byMethod|true|false", Allowed: "byMethod, true or false", Effect: "Whether a request may run more than once without harm; byMethod applies the rules of RFC 9110 for idempotent methods."},
	{Path: "classes[].timeout", Kind: cvfield.Duration, Default: "0s", Min: "0s", Max: "10m", Effect: "Timeout of a request of the class; with 0s the timeout of the service applies."},
	{Path: "classes[].slotShare", Kind: cvfield.Share, Default: "100%", Min: "1%", Max: "100%", Effect: "Maximum share of the slots of the service that requests of the class may occupy."},
	{Path: "classes[].priority", Kind: cvfield.Count, Default: "0", Min: "0", Max: "9", Effect: "Requests with a lower number leave the queue first."},
})
