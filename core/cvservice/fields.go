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

// schema lists the fields of a service file.
var schema = cvschema.New([]cvfield.Field{
	{Path: "service", Kind: cvfield.Text, Required: true, Pattern: namePattern, Allowed: nameAllowed, Effect: "Names the service, once in the whole deployment."},
	{Path: "host", Kind: cvfield.Text, Required: true, Pattern: `\*|[a-z0-9][a-z0-9.-]{0,252}`, Allowed: "a host name in lower case, or * for any", Effect: "Takes calls whose Host is this, without the port."},
	{Path: "pathPrefix", Kind: cvfield.Text, Default: "/", Pattern: pathPattern, Allowed: pathAllowed, Effect: "Takes calls whose path begins with this; the longest prefix wins."},
	{Path: "group", Kind: cvfield.Text, Required: true, Pattern: namePattern, Allowed: nameAllowed, Effect: "Names the group of the platform's VM list that serves the calls."},
	{Path: "slots", Kind: cvfield.Count, Default: "4", Min: "1", Max: "1000", Effect: "Calls that one upstream runs at a time; no more are sent to it by all balancers together, as far as they know of each other."},
	{Path: "connections", Kind: cvfield.Count, Default: "32", Min: "1", Max: "250", Effect: "Connections that one balancer opens to one upstream at most."},
	{Path: "timeout", Kind: cvfield.Duration, Default: "2s", Min: "10ms", Max: "10m", Effect: "Time for a whole call, where neither the caller nor the class says less."},
	{Path: "queue", Kind: cvfield.Count, Default: "256", Min: "0", Max: "100000", Effect: "Calls that wait in one balancer for a free slot at most; further ones are refused."},
	{Path: "requestLimit", Kind: cvfield.Size, Default: "1MiB", Min: "0B", Max: "64MiB", Effect: "Largest request body."},
	{Path: "heldAnswerLimit", Kind: cvfield.Size, Default: "1MiB", Min: "0B", Max: "64MiB", Effect: "Largest answer that is held until it is whole before the caller gets its first byte; larger ones stream."},
	{Path: "retryShare", Kind: cvfield.Share, Default: "10%", Min: "0%", Max: "100%", Effect: "Further tries, retries and hedges together, as a share of calls."},
	{Path: "retryBurst", Kind: cvfield.Count, Default: "10", Min: "0", Max: "10000", Effect: "Further tries that may be saved up by one balancer."},
	{Path: "triesPerCall", Kind: cvfield.Count, Default: "3", Min: "1", Max: "10", Effect: "Tries of one call at most."},
	{Path: "hedgeQuantile", Kind: cvfield.Share, Default: "95%", Min: "50%", Max: "100%", Effect: "Sends an idempotent call a second time once it took longer than this share of recent calls of its class; 100% never does."},
	{Path: "measureBudget", Kind: cvfield.Share, Default: "0%", Min: "0%", Max: "20%", Effect: "Measuring requests to upstreams, as a share of the calls sent to them by one balancer. With 0% load is learnt from answers and peers alone."},
	{Path: "ejectFailures", Kind: cvfield.Count, Default: "5", Min: "1", Max: "1000", Effect: "Failures in a row after which an upstream gets no calls for a time."},
	{Path: "ejectTime", Kind: cvfield.Duration, Default: "2s", Min: "10ms", Max: "5m", Effect: "How long an ejected upstream gets no calls, before one call tries it again."},
	{Path: "ejectFloor", Kind: cvfield.Share, Default: "50%", Min: "0%", Max: "100%", Effect: "Share of the upstreams that are never ejected together."},
	{Path: "claimWindow", Kind: cvfield.Duration, Default: "10m", Min: "1s", Max: "24h", Effect: "How long a key is remembered after its claim; a key sent again later counts as new."},
	{Path: "requireKey", Kind: cvfield.Flag, Default: "false", Effect: "Refuses calls that are not idempotent and carry no Idempotency-Key."},
	{Path: "quarantineTime", Kind: cvfield.Duration, Default: "1m", Min: "1s", Max: "1h", Effect: "How long a request that crashed two upstreams is refused."},
	{Path: "classes", Kind: cvfield.List, Effect: "Classes of calls; the first that fits a call counts."},
	{Path: "classes[].name", Kind: cvfield.Text, Required: true, Pattern: namePattern, Allowed: nameAllowed, Effect: "Names the class."},
	{Path: "classes[].methods", Kind: cvfield.Texts, Default: "", Pattern: `[A-Z]+`, Allowed: "methods in upper case", Effect: "Methods of the class; all when left out."},
	{Path: "classes[].pathPrefix", Kind: cvfield.Text, Default: "/", Pattern: pathPattern, Allowed: pathAllowed, Effect: "Paths of the class."},
	{Path: "classes[].idempotent", Kind: cvfield.Text, Default: "byMethod", Pattern: "byMethod|true|false", Allowed: "byMethod, true or false", Effect: "Whether a call may be run again without harm; byMethod follows RFC 9110."},
	{Path: "classes[].timeout", Kind: cvfield.Duration, Default: "0s", Min: "0s", Max: "10m", Effect: "Time for a whole call of the class; 0s takes the service's."},
	{Path: "classes[].slotShare", Kind: cvfield.Share, Default: "100%", Min: "1%", Max: "100%", Effect: "Share of all slots of the service that the class may hold."},
	{Path: "classes[].priority", Kind: cvfield.Count, Default: "0", Min: "0", Max: "9", Effect: "Calls of a lower number leave the queue first."},
})
