// The schema of the configuration that operators write; #Setup is the top level. Every struct is closed: a field that
// is not listed here is refused. Package config documents the fields.

// The name of an item, a version or an attribute.
#Name:    =~"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
// Text without control characters.
#Text:    =~"^[^\\x00-\\x1f]{0,512}$"
// An index in the variations of a flag.
#Index:   int & >=0 & <=255
// The weight of a variation; 100000 is all contexts.
#Weight:  int & >=0 & <=100000
// A duration such as 1m30s or 800ms.
#Duration: =~"^([0-9]+(\\.[0-9]+)?(ms|s|m|h))+$"
// The name of an HTTP header.
#Header:  =~"^[A-Za-z0-9-]{1,64}$"
// A host name or an IPv4 address, without a port.
#Host:    =~"^[A-Za-z0-9._-]{1,253}$"

// versions and fallback are given together or left out together. If they are left out, they are discovered from what
// workers report.
#Service: {
	versions?: [...#Name]
	fallback?: #Name
	callers?: [...#Name]
}

// A service that gets a part of a route's requests: its weight divided by the sum of the split's weights.
#Share: {
	service: #Name
	weight:  number & >=0
}

// A route has either a service or a split.
#Route: {
	host?:    #Host
	service?: #Name
	split?: [...#Share]
	aim?:   #Duration
	tries?: int & >=0 & <=100
	rank?:  int & >=0 & <=255
	prefix:  =~"^/[^?#\\s]{0,255}$"
	methods: [...("GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE" | "OPTIONS")] | *[]
	class?:  "once" | "repeatable"
	horizon: #Duration | *"2s"
	key:     #Header | *"X-User-Key"
	policy?: #Name
	attributes: {[=~"^[A-Za-z0-9_]{1,64}$"]: #Header}
	attributes: {...} | *{}
}

#Clause: {
	contextKind?: #Name
	attribute?:   #Name
	operator:     "in" | "endsWith" | "startsWith" | "matches" | "contains" | "lessThan" | "lessThanOrEqual" | "greaterThan" | "greaterThanOrEqual" | "before" | "after" | "semVerEqual" | "semVerLessThan" | "semVerGreaterThan" | "segmentMatch"
	values: [...(string | number | bool)]
	negate?: bool
}

#Rollout: {
	contextKind?: #Name
	bucketBy?:    #Name
	seed?:        int
	variations: [...{variation: #Index, weight: #Weight}]
}

#Flag: {
	on:           bool
	salt:         #Text
	variations: [...#Name]
	offVariation: #Index
	prerequisites?: [...{key: #Name, variation: #Index}]
	targets?: [...{contextKind?: #Name, variation: #Index, values: [...string]}]
	rules?: [...{id: #Name, clauses: [...#Clause], variation?: #Index, rollout?: #Rollout}]
	fallthrough: {variation?: #Index, rollout?: #Rollout}
}

#Segment: {
	salt: #Text
	included?: [...string]
	excluded?: [...string]
	rules?: [...{clauses: [...#Clause], weight?: #Weight, bucketBy?: #Name, contextKind?: #Name}]
}

#Release: {
	service: #Name
	version: #Name
	target:  number & >=0 & <=100
	over:    #Duration
	pace:    "go" | "hold" | "back" | *"go"
	by?:     "ramp" | "term"
}

#Policy: expression: string

#Limits: {
	headerMost?: int & >0 & <=1048576
	bodyMost?:   int & >0 & <=1073741824
	headerWait?: #Duration
	quiet?:      #Duration
}

#Stop: {
	service: #Name
	version: #Name
	reason:  #Text | *"an operator stopped it"
	lifted:  bool | *false
}

// The name of a stop is the service and the version that it stops, joined by a dot. It may therefore be as long as
// two names.
#StopName: =~"^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$"

// The items to write, by kind and name, and under remove the names of the items to remove, by kind.
#Setup: {
	service?: [#Name]: #Service
	route?: [#Name]:   #Route
	flag?: [#Name]:    #Flag
	segment?: [#Name]: #Segment
	release?: [#Name]: #Release
	stop?: [#StopName]: #Stop
	policy?: [#Name]:  #Policy
	limits?: #Limits
	remove?: {
		service?: [...#Name]
		route?: [...#Name]
		flag?: [...#Name]
		segment?: [...#Name]
		release?: [...#Name]
		stop?: [...#StopName]
		policy?: [...#Name]
		limits?: [..."limits"]
	}
}
