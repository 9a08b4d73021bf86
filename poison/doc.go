// Package poison identifies the parts of prompts that end the endpoints that begin to answer them, and keeps requests with such a part
// from further endpoints.
//
// Evidence is an answer that broke off, before it had got far, because its endpoint ended: connections to it are refused afterwards, or
// another incarnation is at its address. An answer that was lost, spoiled or reset while its endpoint lives is none. Each end leaves
// several suspects, the parts of all requests that broke off there. Three things tell the cause from the others:
//
//   - An answer that gets far clears all parts of its prompt of what was held against them before.
//   - The probability that an innocent part is at so many ends in a row, given how often endpoints end without it. A part is identified once
//     that is below maxDoubt; on a day of crashes that takes more ends than on a calm one.
//   - An end that an identified part explains is held against no other part, nor against the whole content of a request.
//
// Parts that have been at the same ends in the same requests can't be distinguished. They are identified together: only prompts that have all of
// them are refused, so that the next prompt that has some decides.
//
// Evidence and identifications hold for one organisation, service and model, so that no organisation can put another one's requests out of
// service. The last part of a prompt is the request's own and never a suspect.
//
// Nodes include their latest evidence in their reports. Identifications are a set that all nodes hold in full: reports have its digest, and a
// peer with another digest is sent the set. A node that starts or was cut off has it after its first exchange of reports.
//
// Guarantees under failure. All of it is soft state: it is lost if all nodes are lost at once, and the part is then identified anew. An
// identification stays in force for retention after the last request that it refused at any node, unless an answer clears it.
// Memory and reports are bounded, as is what one organisation can use of them.
package poison
