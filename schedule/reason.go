package schedule

// ReasonSuspectAlone is the Assignment.Reason of a suspect that must run alone
// on its server. Entry hosts choose servers for suspects independently, so the
// driver must ensure that no other host runs a suspect on the same server.
const ReasonSuspectAlone = "suspect-alone"
