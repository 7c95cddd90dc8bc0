// Package serverspeed estimates how fast each backend server is, relative to the median server of its service, from the
// times that gateways observe.
//
// An Estimator runs in the leader. Its samples are times per decoding step, per prefilled token and per request. It
// separates the time that belongs to the model from that of the server: log(sample) = level of the model and kind +
// effect of the server. Each pair of a server and a level is summarised by a low quantile of its last samples, so
// that short disturbances do not count, and the pairs are fitted together. A model that only one server holds says nothing
// about that server. A factor is used only if it rests on enough samples and differs clearly from 1.
//
// A Table runs in each gateway. It holds the factors that the leader has published and a short-term factor for each
// server, which rises within a few events and decays within seconds.
//
// The package does no I/O, and its types are not safe for concurrent use. The caller transports samples and factors
// between processes. All state is in memory: lost samples delay an estimate, a new leader starts from the factors that
// its gateway has, and a server that restarts has a new ID and the factor 1.
package serverspeed
