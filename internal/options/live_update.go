package options

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// LiveUpdate is the result of a reload of settings.
type LiveUpdate struct {
	Current        proto.Message // settings in effect after the reload
	Changed        []string      // live settings whose value changed, by flag name
	PendingRestart []string      // other settings that differ from those at start, by flag name
}

// ApplyLive gives the settings in effect after a reload: the live ones (Rule.live) as loaded, all others as they
// were at the program's start. All messages are of one type; none is written to.
func ApplyLive(initial, current, loaded proto.Message) LiveUpdate {
	update := LiveUpdate{Current: proto.Clone(current)}
	from, to, initialFields := loaded.ProtoReflect(), update.Current.ProtoReflect(), initial.ProtoReflect()
	fields := from.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		switch live := ruleOf(field).Live; {
		case live && !sameValue(from, to, field):
			to.Clear(field)
			if from.Has(field) {
				to.Set(field, from.Get(field))
			}
			update.Changed = append(update.Changed, flagName(field))
		case !live && !sameValue(from, initialFields, field):
			update.PendingRestart = append(update.PendingRestart, flagName(field))
		}
	}
	return update
}

func sameValue(a, b protoreflect.Message, field protoreflect.FieldDescriptor) bool {
	return a.Get(field).Equal(b.Get(field))
}
