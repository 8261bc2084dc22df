package dispatch
import ("testing";"fmt";"time";"math/rand/v2";"meadowhinge/internal/plan";"meadowhinge/internal/setup";"meadowhinge/schema")
func BenchmarkPlanWithFacts(b *testing.B) {
	compiled, _ := setup.Compile(setup.State{}.With([]*schema.Item{
		{Kind: "service", Name: "s", Version: &schema.Version{Sequence: 1}, Body: []byte(`{"versions":["1"],"fallback":"1"}`)},
		{Kind: "route", Name: "r", Version: &schema.Version{Sequence: 1}, Body: []byte(`{"service":"s","prefix":"/"}`)}}), 1)
	facts := NewSoundness(5, 5*time.Second)
	var pool []plan.Candidate
	for i := range 5 { pool = append(pool, plan.Candidate{Instance: fmt.Sprint("instance-",i), Proxy: fmt.Sprint("10.1.0.",i), Slots: 18, Area: []string{"a","b"}[i%2]})
		facts.Begin(fmt.Sprint("instance-",i)); facts.Ended(fmt.Sprint("instance-",i), 1, 1e8, &schema.Carried{Ending: schema.Ending_ENDING_ANSWERED, Status:200, Slots:18, Running:5, PaceNanos:1e8}) }
	view := &plan.View{Setup: compiled, Directory: plan.Directory{"s": {"1": pool}}}
	var known plan.Facts = &Facts{facts, nil}
	request := &plan.Request{Caller:"c", Method: "GET", Path: "/", Identity:"x"}
	now := time.Duration(2)
	for b.Loop() { now += 1000000; plan.Make(view, request, plan.Options{HorizonMost: time.Minute, Area:"a"}, known, now, rand.Float64) }
}
