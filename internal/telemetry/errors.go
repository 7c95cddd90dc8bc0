package telemetry

import "go.uber.org/zap"

// Error returns the field of an error's text alone; zap's own field adds the
// stack that eris keeps, which is most of a line.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
