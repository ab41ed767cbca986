// Package reason lists why a request can be refused. Each reason has one row
// in a table: its name, its HTTP status and its text.
package reason

// Reason is the cause of a refusal. Its value is the name that appears in
// problem documents, logs, metrics and reports.
type Reason string

// The reasons for a refusal. The table below gives status and text for each.
const (
	BadRequest       Reason = "BadRequest"
	KeyMissing       Reason = "KeyMissing"
	KeyUnknown       Reason = "KeyUnknown"
	TeamNotAllowed   Reason = "TeamNotAllowed"
	TokenMissing     Reason = "TokenMissing"
	UnknownRoute     Reason = "UnknownRoute"
	MethodNotAllowed Reason = "MethodNotAllowed"
	RequestConflict  Reason = "RequestConflict"
	BodyTooLarge     Reason = "BodyTooLarge"
	RateExceeded     Reason = "RateExceeded"
	RateUnknown      Reason = "RateUnknown"
	Overloaded       Reason = "Overloaded"
	NoInstance       Reason = "NoInstance"
	Leaving          Reason = "Leaving"
	Evacuated        Reason = "Evacuated"
	NotInForce       Reason = "NotInForce"
	StoreUnavailable Reason = "StoreUnavailable"
	CrashSuspect     Reason = "CrashSuspect"
	TargetRefused    Reason = "TargetRefused"
	InstanceLost     Reason = "InstanceLost"
	DeadlineExceeded Reason = "DeadlineExceeded"
	Cancelled        Reason = "Cancelled"
)

type row struct {
	status int
	text   string
}

var table = map[Reason]row{
	BadRequest:       {400, "The request is malformed."},
	KeyMissing:       {401, "The route needs a key in the Authorization header."},
	KeyUnknown:       {401, "The key isn't known, or it was withdrawn."},
	TeamNotAllowed:   {403, "The team of this key may not use the route."},
	TokenMissing:     {403, "A call from a target needs the call token of its request."},
	UnknownRoute:     {404, "No route matches the path."},
	MethodNotAllowed: {405, "The route doesn't take this method."},
	RequestConflict:  {409, "A request with this idempotency key has another body or hasn't ended yet."},
	BodyTooLarge:     {413, "The body is larger than the route allows."},
	RateExceeded:     {429, "The team is over its rate and burst."},
	RateUnknown:      {503, "The team's rate can't be checked at present."},
	Overloaded:       {503, "The service is overloaded and more important work goes first."},
	NoInstance:       {503, "No instance of the service can be reached."},
	Leaving:          {503, "The instance is leaving and takes no new work."},
	Evacuated:        {503, "The data centre of the instance is under evacuation and takes no new work."},
	NotInForce:       {503, "This node has no configuration in force yet, or has been cut off for too long."},
	StoreUnavailable: {503, "The request has to be recorded before it runs, and the store is out."},
	CrashSuspect:     {503, "This request crashed the targets that ran it and is refused for a while."},
	TargetRefused:    {503, "The target refused the request before it ran any of it."},
	InstanceLost:     {502, "The instance was lost while it had the request."},
	DeadlineExceeded: {504, "The request's time ran out."},
	// 499 is the status that nginx uses if the client closes the request.
	Cancelled: {499, "The caller went away."},
}

// Status returns the HTTP status that goes with the reason, 500 if unknown.
func (r Reason) Status() int {
	found, ok := table[r]
	if !ok {
		return 500
	}
	return found.status
}

// Text returns one sentence that explains the reason to a caller.
func (r Reason) Text() string {
	return table[r].text
}
