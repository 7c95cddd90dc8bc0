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

// An ErrorResponse is an error response of an entry or agent itself, rather than of the backend server, in the
// form of the OpenAI API. Gateways send plain text in the form of the users' platform instead
// (package gateway).
type ErrorResponse struct {
	Status     int
	Outcome    Outcome
	Type       string
	Code       string
	Param      string
	Message    string
	RetryAfter time.Duration
}

// Body returns the error object.
func (r ErrorResponse) Body() ErrorBody {
	return ErrorBody{Error: ErrorDetail{Message: r.Message, Type: r.Type, Code: r.Code, Param: r.Param}}
}

// Write sends the response.
func (r ErrorResponse) Write(c echo.Context) error {
	h := c.Response().Header()
	h.Set(HeaderOutcome, string(r.Outcome))
	h.Set(HeaderReason, r.Code)
	if r.RetryAfter > 0 {
		SetRetryAfter(h, r.RetryAfter)
	}
	return c.JSON(r.Status, r.Body())
}
