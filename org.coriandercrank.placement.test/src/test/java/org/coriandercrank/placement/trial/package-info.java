/** Step-by-step trial of placement decisions. */
package org.coriandercrank.placement.trial;
