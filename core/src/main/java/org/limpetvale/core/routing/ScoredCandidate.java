package org.limpetvale.core.routing;

/**
 * A candidate and its score.
 *
 * @param candidate the candidate
 * @param scoreMillis predicted time to the first token with penalties and credits, in milliseconds;
 *     under a baseline policy, that policy's own measure
 * @param scoreBreakdown components of the score, for the log
 */
public record ScoredCandidate(Candidate candidate, double scoreMillis, String scoreBreakdown) {}
