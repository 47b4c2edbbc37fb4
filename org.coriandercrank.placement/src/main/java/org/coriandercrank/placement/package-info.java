/** Placement of key ranges: the planner, the placement policies and the ranges that this daemon owns. */
package org.coriandercrank.placement;
