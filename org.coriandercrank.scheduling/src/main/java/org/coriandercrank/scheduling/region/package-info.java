/** Which capacity of a region is kept for requests that may be executed only there. */
package org.coriandercrank.scheduling.region;
