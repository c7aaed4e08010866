package org.limpetvale.core.routing;

/**
 * A candidate with its score.
 *
 * @param candidate the candidate
 * @param scoreMillis predicted time to the first token with penalties and credits, in milliseconds;
 *     under a baseline policy, its own measure
 * @param scoreBreakdown the parts of the score, for the log
 */
public record ScoredCandidate(Candidate candidate, double scoreMillis, String scoreBreakdown) {}
