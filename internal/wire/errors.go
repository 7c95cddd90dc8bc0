package wire

import (
	"time"

	"github.com/labstack/echo/v4"
)

// An ErrorBody is the error object of the OpenAI API.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// An ErrorDetail is the content of an ErrorBody.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   string `json:"param,omitempty"`
	Code    string `json:"code"`
}

// Error types of the OpenAI API.
const (
	TypeInvalidRequest = "invalid_request_error"
	TypeOverloaded     = "overloaded_error"
	TypeServer         = "server_error"
)

// A Failure is an error response of an entry or agent itself, rather than of the backend server, in the
// form of the OpenAI API. Gateways send plain text in the form of the users' platform instead
// (package gateway).
type Failure struct {
	Status     int
	Outcome    Outcome
	Type       string
	Code       string
	Param      string
	Message    string
	RetryAfter time.Duration
}

// Body returns the error object.
func (f Failure) Body() ErrorBody {
	return ErrorBody{Error: ErrorDetail{Message: f.Message, Type: f.Type, Code: f.Code, Param: f.Param}}
}

// Write sends the response.
func (f Failure) Write(c echo.Context) error {
	h := c.Response().Header()
	h.Set(HeaderOutcome, string(f.Outcome))
	h.Set(HeaderReason, f.Code)
	if f.RetryAfter > 0 {
		SetRetryAfter(h, f.RetryAfter)
	}
	return c.JSON(f.Status, f.Body())
}
