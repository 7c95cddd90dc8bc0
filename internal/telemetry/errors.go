package telemetry

import "go.uber.org/zap"

// Error returns a log field with the error's text. Unlike zap.Error it omits the stack trace that eris
// records.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
