package options

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// LiveUpdate are the settings in force once a changed file was read.
type LiveUpdate struct {
	Current        proto.Message // what is in force, of the same kind as before
	Changed        []string      // settings that count at once, and are another than before
	PendingRestart []string      // settings that are another than at the start, and count from the next start on
}

// ApplyLive takes from what was read the settings that may change while a program runs; all others
// stay as they were at its start.
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
