/** Tests of placement. */
package org.coriandercrank.placement;
