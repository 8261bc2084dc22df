// The schema of the configuration that operators submit. Every struct is closed, so an unknown field is an error.
#Name:    =~"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
#Text:    =~"^[^\\x00-\\x1f]{0,512}$"
#Index:   int & >=0 & <=255
#Weight:  int & >=0 & <=100000
#Span:    =~"^([0-9]+(\\.[0-9]+)?(ms|s|m|h))+$"
#Header:  =~"^[A-Za-z0-9-]{1,64}$"

#Host:    =~"^[A-Za-z0-9._-]{1,253}$"

// Either both versions and fallback are set, or neither. If neither is, they are discovered from what workers report.
#Service: {
	versions?: [...#Name]
	fallback?: #Name
	callers?: [...#Name]
}

#Share: {
	service: #Name
	weight:  number & >=0
}

#Route: {
	host?:    #Host
	service?: #Name
	split?: [...#Share]
	aim?:   #Span
	tries?: int & >=0 & <=100
	rank?:  int & >=0 & <=255
	prefix:  =~"^/[^?#\\s]{0,255}$"
	methods: [...("GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE" | "OPTIONS")] | *[]
	class?:  "once" | "repeatable"
	horizon: #Span | *"2s"
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
	over:    #Span
	pace:    "go" | "hold" | "back" | *"go"
	by?:     "ramp" | "term"
}

#Policy: expression: string

#Limits: {
	headerMost?: int & >0 & <=1048576
	bodyMost?:   int & >0 & <=1073741824
	headerWait?: #Span
	quiet?:      #Span
}

#Stop: {
	service: #Name
	version: #Name
	reason:  #Text | *"an operator stopped it"
	lifted:  bool | *false
}

// A stop is named SERVICE.VERSION, so its name may be as long as two names and a dot.
#StopName: =~"^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$"

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
