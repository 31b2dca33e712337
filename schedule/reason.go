package schedule

// ReasonSuspectAlone is the Assignment.Reason of a suspect that must have the
// server to itself. Several entry hosts choose servers for suspects at the
// same time, so the driver must make sure that no other host runs one there.
const ReasonSuspectAlone = "suspect-alone"
