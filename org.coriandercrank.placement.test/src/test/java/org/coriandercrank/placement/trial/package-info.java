/** Step-by-step simulation of placement decisions. */
package org.coriandercrank.placement.trial;
